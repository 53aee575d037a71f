package dev.vanillarun.daemon.forward

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.daemon.stream.CallerStream
import dev.vanillarun.daemon.stream.TokenFigures
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Events of a stream that the caller already has. */
public class RelayedEvents {
    private val text = StringBuilder()
    private var countable = true

    /** Tokens passed on. */
    public var tokens: Long = 0
        private set

    /** Events passed on. */
    public var events: Int = 0
        private set

    /** True if another target can be told exactly where to go on. */
    public val resumable: Boolean get() = countable

    /** An event with [part] was passed on; [count] is null if the engine does not say how many tokens it has. */
    public fun add(part: String, count: Int?) {
        events++
        text.append(part)
        tokens += count ?: if (part.isEmpty()) 0 else 1
        if (count == null && part.isNotEmpty()) countable = false
    }

    /** The `resume` field of a request that goes on from here. */
    public fun resumePoint(): JsonObject = buildJsonObject {
        put("text", text.toString())
        put("tokens", tokens)
    }
}

/** What has happened to a call so far. One coroutine at a time changes it. */
public class CallProgress(
    /** The caller's side, where the answer may be streamed. */
    public val stream: CallerStream?,
) {
    /** True once a byte of the answer may have gone to the caller. */
    public val answering: Boolean get() = stream?.isOpen == true

    /** Whether the call may have run by now. */
    @Volatile
    public var execution: Execution = Execution.NOT_RUN

    /** Targets that tried, in order. */
    public val tried: MutableSet<TargetId> = LinkedHashSet()

    /** Attempts so far. */
    public var attempts: Int = 0

    /** What the caller has of a stream. */
    public val relayed: RelayedEvents = RelayedEvents()

    /** Event of the last failure. */
    public var lastEvent: EventId? = null

    /** Tokens of the whole answer, once there is one and if they are counted. */
    public var figures: TokenFigures? = null

    /** Work done for the caller, in tokens. */
    public var actualWork: Long = 0
}
