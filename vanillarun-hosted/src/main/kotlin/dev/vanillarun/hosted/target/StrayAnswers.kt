package dev.vanillarun.hosted.target

import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.target.ConnectionUse
import dev.vanillarun.daemon.target.StrayAnswer
import dev.vanillarun.daemon.target.StrayAnswerListener
import dev.vanillarun.daemon.target.StrayKind
import java.util.concurrent.atomic.AtomicLong

/** Counts and records what targets sent without being the answer to a request of this instance. */
public class StrayAnswers(private val events: EventRecorder) : StrayAnswerListener {
    private val counts = StrayKind.entries.associateWith { AtomicLong() }

    /** Number of stray answers so far, by [StrayKind.label]. */
    public val countsByKind: Map<String, Long> get() = counts.entries.associate { it.key.label to it.value.get() }

    override fun received(answer: StrayAnswer) {
        counts.getValue(answer.kind).incrementAndGet()
        val attributes = mapOf("address" to answer.address, "kind" to answer.kind.label, "detail" to answer.detail)
        events.record("answer.stray", EventLinks(request = answer.request), attributes + answer.connection.attributes())
    }
}

/** Attributes of events that name a connection; empty for null. */
internal fun ConnectionUse?.attributes(): Map<String, String> = when (this) {
    null -> emptyMap()

    else -> mapOf(
        "connection" to connection,
        "exchange" to "$exchange",
        "connection_age_ms" to "${age.inWholeMilliseconds}",
        "previous_request" to previousRequest.orEmpty(),
    )
}
