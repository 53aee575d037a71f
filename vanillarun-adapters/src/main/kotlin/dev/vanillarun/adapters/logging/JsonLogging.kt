package dev.vanillarun.adapters.logging

import io.github.oshai.kotlinlogging.KotlinLoggingConfiguration

/**
 * Logging as JSON lines, which all programs share; see [JsonLogConfigurator].
 *
 * The system property `vanillarun.log.target` is `System.out` (default) or `System.err`; `vanillarun.log.level` is the
 * minimum level, `INFO` by default.
 */
public object JsonLogging {
    /** Suppresses the startup message of the logging library. Call it first in `main`. */
    public fun start() {
        KotlinLoggingConfiguration.logStartupMessage = false
    }
}
