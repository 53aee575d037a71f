package dev.vanillarun.daemon.forward

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.daemon.stream.CallerStream
import dev.vanillarun.daemon.stream.TokenFigures
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Stream events that were already relayed to the caller. */
public class RelayedEvents {
    private val text = StringBuilder()
    private var allTokensCounted = true

    /** Tokens relayed; an event without a token count counts as one token if it has text. */
    public var tokens: Long = 0
        private set

    /** Events relayed that carry a part of the completion. */
    public var events: Int = 0
        private set

    /** True if every token was counted, so that another target can resume at the exact position. */
    public val resumable: Boolean get() = allTokensCounted

    /** Adds a relayed event with the text [part]; [count] is null if the engine gave no token count. */
    public fun add(part: String, count: Int?) {
        events++
        text.append(part)
        tokens += count ?: if (part.isEmpty()) 0 else 1
        if (count == null && part.isNotEmpty()) allTokensCounted = false
    }

    /** The `resume` field of a request that continues after these events. */
    public fun resumePoint(): JsonObject = buildJsonObject {
        put("text", text.toString())
        put("tokens", tokens)
    }
}

/** Mutable state of a call across its attempts. Changed by one coroutine at a time. */
public class CallProgress(
    /** Stream to the caller; null if the response must not be streamed. */
    public val stream: CallerStream?,
) {
    /** True once a byte of the response may have reached the caller. */
    public val responseStarted: Boolean get() = stream?.isOpen == true

    /** Whether a target may have run the call so far. */
    @Volatile
    public var execution: Execution = Execution.NOT_RUN

    /** Targets not to be tried again, in the order of the attempts. */
    public val triedTargets: MutableSet<TargetId> = LinkedHashSet()

    /** Attempts started so far. */
    public var attempts: Int = 0

    /** Part of the stream that the caller already has. */
    public val relayed: RelayedEvents = RelayedEvents()

    /** Id of the event that recorded the last failure; null before the first. */
    public var lastFailureEvent: EventId? = null

    /** Token counts of the complete response; null before it, or if tokens are not counted. */
    public var figures: TokenFigures? = null

    /** Work done for the call in tokens, which corrects the estimate at its end. */
    public var actualWork: Long = 0
}
