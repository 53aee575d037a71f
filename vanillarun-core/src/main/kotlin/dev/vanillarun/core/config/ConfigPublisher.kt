package dev.vanillarun.core.config

import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.ConfigChange
import dev.vanillarun.core.log.ConfigPublication
import dev.vanillarun.core.log.Decoded
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.read
import dev.vanillarun.core.log.resume
import dev.vanillarun.core.log.start
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the publishing tool found in the log. */
public sealed interface CurrentConfig {
    /** The configuration in force, or none yet; pass it on to [ConfigPublisher.publish]. */
    public data class Known(
        /** View at the end of the log. */
        public val view: LogView<ConfigState>,
    ) : CurrentConfig {
        /** Publication in force; null if there was none yet. */
        public val inForce: PublishedConfig? get() = view.state.winner
    }

    /** The log keeps no snapshot, so that nobody can tell what is in force. */
    public data object Unanchored : CurrentConfig

    /** The log did not answer in time. */
    public data class Unavailable(
        /** What was seen. */
        public val reason: String,
    ) : CurrentConfig
}

/** Outcome of a publication. */
public sealed interface PublishOutcome {
    /** The publication was read back and is in force. */
    public data class Published(
        /** Its position. */
        public val offset: Offset,
    ) : PublishOutcome

    /** Another publication came first; this one has no effect and never will. */
    public data class Conflict(
        /** The publication that came first. */
        public val winner: PublishedConfig?,
    ) : PublishOutcome

    /** Nothing was written. */
    public data class Refused(
        /** Why. */
        public val reason: String,
        /** When to try again. */
        public val retryAfter: Duration,
    ) : PublishOutcome

    /** The log went away before the outcome could be read; the publication may still come into force. */
    public data class InDoubt(
        /** What was seen last. */
        public val reason: String,
    ) : PublishOutcome
}

/**
 * Publishes configurations through the log.
 *
 * An append whose answer is lost is repeated with the same record: the copies name the same base, so that at most one
 * of them is accepted.
 *
 * ```
 * when (val current = publisher.current()) {
 *     is CurrentConfig.Known -> publisher.publish(current, config, author = "anna", message = "new key")
 *     else -> ...
 * }
 * ```
 */
public class ConfigPublisher(
    private val log: PlatformLog,
    private val writer: RecordWriter,
    private val patience: Duration = 15.seconds,
    private val pause: Duration = 200.milliseconds,
) {
    /** Reads the configuration in force. */
    public suspend fun current(): CurrentConfig = withTimeoutOrNull(patience) {
        var view = ConfigReducer.start()
        var end: Offset? = null
        while (end == null || view.next < end) {
            when (val result = log.read(STREAMS, view.next)) {
                is ReadResult.Page -> {
                    view = ConfigReducer.read(view, result)
                    end = result.end
                }

                is ReadResult.Truncated -> view = ConfigReducer.resume(view, result)

                is ReadResult.Unavailable -> delay(pause)
            }
        }
        if (view.state.hasBase) CurrentConfig.Known(view) else CurrentConfig.Unanchored
    } ?: CurrentConfig.Unavailable("the log did not answer within $patience")

    /** Publishes [config] in place of what [current] found. */
    public suspend fun publish(
        current: CurrentConfig.Known,
        config: RolloutConfig,
        author: String,
        message: String,
    ): PublishOutcome {
        val base = checkNotNull(current.view.state.base) { "a known configuration has a base" }
        val body = current.inForce?.let { smaller(base, it.config, config, author, message) }
            ?: ConfigPublication(base, author, message, config.canonical())
        val attempt = Attempt(current.view, writer.envelope(body), base)
        return withTimeoutOrNull(patience) { attempt.run() } ?: attempt.giveUp()
    }

    /** A change relative to [before], or null if the whole configuration is not larger. */
    private fun smaller(
        base: Offset,
        before: RolloutConfig,
        after: RolloutConfig,
        author: String,
        message: String,
    ): ConfigChange? {
        val patch = before.diff(after)
        val size = patch.customers.size + patch.routes.size + patch.targets.size + patch.spending.size
        val whole = after.customers.size + after.routes.size + after.targets.size + after.spending.size
        return ConfigChange(base, author, message, patch).takeIf { size < whole }
    }

    private inner class Attempt(
        private var view: LogView<ConfigState>,
        private val envelope: Envelope,
        private val base: Offset,
    ) {
        private var written = false
        private var accepted: Offset? = null

        suspend fun run(): PublishOutcome {
            while (true) {
                settle()?.let { return it }
                val first = !written
                written = true
                val result = log.append(listOf(NewRecord(StreamName.Config, RecordCodec.encode(envelope))))
                if (first && result is AppendResult.Refused) {
                    return PublishOutcome.Refused(result.reason, result.retryAfter)
                }
                settle()?.let { return it }
                delay(pause)
            }
        }

        fun giveUp(): PublishOutcome {
            val reason = "the log did not answer within $patience"
            return if (written) PublishOutcome.InDoubt(reason) else PublishOutcome.Refused(reason, pause)
        }

        /** Reads to the end of the log and tells the outcome if it is already certain. */
        private suspend fun settle(): PublishOutcome? {
            while (true) {
                when (val result = log.read(STREAMS, view.next)) {
                    is ReadResult.Page -> {
                        take(result)
                        if (view.next >= result.end) return verdict()
                    }

                    is ReadResult.Truncated -> return giveUp()

                    is ReadResult.Unavailable -> delay(pause)
                }
            }
        }

        private fun take(page: ReadResult.Page) {
            for (record in page.records) {
                view = ConfigReducer.read(view, page.copy(records = listOf(record), next = record.offset.next()))
                val decoded = RecordCodec.decode(record.payload) as? Decoded.Known ?: continue
                if (decoded.envelope.id == envelope.id && view.state.base == record.offset) accepted = record.offset
            }
            view = ConfigReducer.read(view, page.copy(records = emptyList()))
        }

        private fun verdict(): PublishOutcome? {
            val offset = accepted
            return when {
                offset != null -> PublishOutcome.Published(offset)
                view.state.base != base -> PublishOutcome.Conflict(view.state.winner)
                else -> null
            }
        }
    }

    private companion object {
        val STREAMS = setOf(StreamName.Config)
    }
}
