package dev.vanillarun.adapters.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.Logger
import java.util.ServiceLoader

private fun LoggerContext.root() = getLogger(Logger.ROOT_LOGGER_NAME)

private fun configured(properties: Map<String, String> = emptyMap()) =
    LoggerContext().also { JsonLogConfigurator(properties::get).configure(it) }

class JsonLogConfiguratorTest :
    DescribeSpec({
        describe("the log of a process without a configuration file") {
            it("is JSON lines on the standard output, from INFO on") {
                val appender = configured().root().getAppender(
                    "lines",
                ).shouldBeInstanceOf<ConsoleAppender<ILoggingEvent>>()
                appender.target shouldBe "System.out"
                appender.isStarted shouldBe true
                appender.encoder.shouldBeInstanceOf<LogstashEncoder>().isStarted shouldBe true
                configured().root().level shouldBe Level.INFO
            }
            it("goes where the properties say, from the level that they say") {
                val properties = mapOf("vanillarun.log.target" to "System.err", "vanillarun.log.level" to "WARN")
                val root = configured(properties).root()
                root.level shouldBe Level.WARN
                root.getAppender("lines").shouldBeInstanceOf<ConsoleAppender<ILoggingEvent>>().target shouldBe
                    "System.err"
            }
            it("has only warnings of the libraries for connections") {
                listOf("io.netty", "io.grpc").forEach { configured().getLogger(it).level shouldBe Level.WARN }
            }
        }
        describe("a configuration file") {
            it("goes before it") {
                val context = LoggerContext()
                val configurator = JsonLogConfigurator(mapOf("logback.configurationFile" to "other.xml")::get)
                configurator.configure(context) shouldBe ExecutionStatus.INVOKE_NEXT_IF_ANY
                context.root().getAppender("lines") shouldBe null
            }
        }
        describe("Logback") {
            it("finds it") {
                ServiceLoader.load(Configurator::class.java).map { it::class } shouldContain JsonLogConfigurator::class
            }
        }
    })
