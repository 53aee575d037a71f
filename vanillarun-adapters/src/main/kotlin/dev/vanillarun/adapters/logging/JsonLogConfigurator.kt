package dev.vanillarun.adapters.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.Logger

/**
 * Configures Logback to write JSON lines, unless it finds a configuration file: one that `logback.configurationFile`
 * names, or a `logback-test.xml` or `logback.xml` on the class path. Logback creates it by its service file.
 *
 * In code, as the parser of configuration files takes more than a tenth of the classes that a start loads.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public class JsonLogConfigurator(private val property: (String) -> String? = { System.getProperty(it) }) :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (hasFile()) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        QuietLibraries.forEach { context.getLogger(it).level = Level.WARN }
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.toLevel(property(LEVEL_PROPERTY), Level.INFO)
            addAppender(console(context))
        }
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun hasFile(): Boolean = property(FILE_PROPERTY) != null ||
        FileNames.any { javaClass.classLoader.getResource(it) != null }

    private fun console(loggerContext: LoggerContext) = ConsoleAppender<ILoggingEvent>().apply {
        name = "lines"
        context = loggerContext
        target = property(TARGET_PROPERTY) ?: "System.out"
        encoder = LogstashEncoder().apply {
            context = loggerContext
            // Events hold text and numbers only; the search for modules of Jackson opens every jar.
            setFindAndRegisterJacksonModules(false)
            start()
        }
        start()
    }

    private companion object {
        const val FILE_PROPERTY = "logback.configurationFile"
        const val LEVEL_PROPERTY = "vanillarun.log.level"
        const val TARGET_PROPERTY = "vanillarun.log.target"
        val FileNames = listOf("logback-test.xml", "logback.xml")
        val QuietLibraries = listOf("io.netty", "io.grpc")
    }
}
