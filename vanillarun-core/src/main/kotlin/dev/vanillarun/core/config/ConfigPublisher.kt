package dev.vanillarun.core.config

import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.ConfigChange
import dev.vanillarun.core.log.ConfigPublication
import dev.vanillarun.core.log.DecodedRecord
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

/** Result of [ConfigPublisher.current]. */
public sealed interface CurrentConfig {
    /** The log was read to its end; the result is the base for [ConfigPublisher.publish]. */
    public data class Known(
        /** State after the last record of the log. */
        public val view: LogView<ConfigState>,
    ) : CurrentConfig {
        /** Publication in force; null if nothing has been published. */
        public val inForce: PublishedConfig? get() = view.state.confirmed
    }

    /** The log retains neither its start nor a usable snapshot, so the configuration in force is unknown. */
    public data object Unanchored : CurrentConfig

    /** The log could not be read before the timeout. */
    public data class Unavailable(
        /** Cause, for the operator. */
        public val reason: String,
    ) : CurrentConfig
}

/** Result of [ConfigPublisher.publish]. */
public sealed interface PublishOutcome {
    /** The publication was read back and is in force. */
    public data class Published(
        /** Offset of the publication in the log. */
        public val offset: Offset,
    ) : PublishOutcome

    /** Another publication with the same base came first; this one has no effect and never will. */
    public data class Conflict(
        /** Publication in force; null if the reader does not know it. */
        public val winner: PublishedConfig?,
    ) : PublishOutcome

    /** Nothing was written to the log. */
    public data class Refused(
        /** Cause, for the operator. */
        public val reason: String,
        /** Delay after which the publication may be retried. */
        public val retryAfter: Duration,
    ) : PublishOutcome

    /** The outcome could not be read from the log before the timeout; the publication may still come into force. */
    public data class InDoubt(
        /** Cause, for the operator. */
        public val reason: String,
    ) : PublishOutcome
}

/**
 * Publishes configurations through the log.
 *
 * An append whose result is lost is retried with the same record. All copies name the same base, so at most one of them
 * is accepted.
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
    private val timeout: Duration = 15.seconds,
    private val retryInterval: Duration = 200.milliseconds,
) {
    /** Reads the log to its end to find the configuration in force, for at most [timeout]. */
    public suspend fun current(): CurrentConfig = withTimeoutOrNull(timeout) {
        var view = ConfigReducer.start()
        var end: Offset? = null
        while (end == null || view.next < end) {
            when (val result = log.read(STREAMS, view.next)) {
                is ReadResult.Page -> {
                    view = ConfigReducer.read(view, result)
                    end = result.end
                }

                is ReadResult.Truncated -> view = ConfigReducer.resume(view, result)

                is ReadResult.Unavailable -> delay(retryInterval)
            }
        }
        if (view.state.hasBase) CurrentConfig.Known(view) else CurrentConfig.Unanchored
    } ?: CurrentConfig.Unavailable("the log did not answer within $timeout")

    /** Publishes [config] as the successor of [current], and waits for the outcome for at most [timeout]. */
    public suspend fun publish(
        current: CurrentConfig.Known,
        config: RolloutConfig,
        author: String,
        message: String,
    ): PublishOutcome {
        val base = checkNotNull(current.view.state.base) { "CurrentConfig.Known without a base" }
        val body = current.inForce?.let { changeIfSmaller(base, it.config, config, author, message) }
            ?: ConfigPublication(base, author, message, config.canonical())
        val attempt = PublishAttempt(current.view, writer.envelope(body), base)
        return withTimeoutOrNull(timeout) { attempt.run() } ?: attempt.timedOut()
    }

    /** Change relative to [before], or null if it has at least as many elements as the whole configuration. */
    private fun changeIfSmaller(
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

    private inner class PublishAttempt(
        private var view: LogView<ConfigState>,
        private val envelope: Envelope,
        private val base: Offset,
    ) {
        private var appendSent = false
        private var accepted: Offset? = null

        suspend fun run(): PublishOutcome {
            while (true) {
                readOutcome()?.let { return it }
                val first = !appendSent
                appendSent = true
                val result = log.append(listOf(NewRecord(StreamName.Config, RecordCodec.encode(envelope))))
                if (first && result is AppendResult.Refused) {
                    return PublishOutcome.Refused(result.reason, result.retryAfter)
                }
                readOutcome()?.let { return it }
                delay(retryInterval)
            }
        }

        fun timedOut(): PublishOutcome {
            val reason = "the log did not answer within $timeout"
            return if (appendSent) PublishOutcome.InDoubt(reason) else PublishOutcome.Refused(reason, retryInterval)
        }

        /** Reads to the end of the log and returns the outcome, or null if it is not yet decided. */
        private suspend fun readOutcome(): PublishOutcome? {
            while (true) {
                when (val result = log.read(STREAMS, view.next)) {
                    is ReadResult.Page -> {
                        readPage(result)
                        if (view.next >= result.end) return outcome()
                    }

                    is ReadResult.Truncated -> return timedOut()

                    is ReadResult.Unavailable -> delay(retryInterval)
                }
            }
        }

        private fun readPage(page: ReadResult.Page) {
            for (record in page.records) {
                view = ConfigReducer.read(view, page.copy(records = listOf(record), next = record.offset.next()))
                val decoded = RecordCodec.decode(record.payload) as? DecodedRecord.Known ?: continue
                if (decoded.envelope.id == envelope.id && view.state.base == record.offset) accepted = record.offset
            }
            view = ConfigReducer.read(view, page.copy(records = emptyList()))
        }

        private fun outcome(): PublishOutcome? {
            val offset = accepted
            return when {
                offset != null -> PublishOutcome.Published(offset)
                view.state.base != base -> PublishOutcome.Conflict(view.state.confirmed)
                else -> null
            }
        }
    }

    private companion object {
        val STREAMS = setOf(StreamName.Config)
    }
}
