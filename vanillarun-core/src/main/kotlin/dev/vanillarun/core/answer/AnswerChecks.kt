package dev.vanillarun.core.answer

import dev.vanillarun.core.id.RequestId

/** Checks the request id [echoed] by a response against the one [sent]; null if there is no fault. */
public fun requestIdFault(sent: RequestId, echoed: String?, echoRequired: Boolean): ResponseFault? {
    val mismatch = if (echoed == null) echoRequired else echoed != sent.value
    return if (mismatch) ResponseFault.WrongRequest(sent, echoed) else null
}

/** Checks the number of bytes of a body against its announced length and a limit. Immutable. */
public data class BodyCheck(
    /** Value of `Content-Length`; null if the transport marks the end, as chunked encoding does. */
    public val announced: Long?,
    /** Largest accepted body, in bytes. */
    public val limit: Long = Long.MAX_VALUE,
    /** Bytes received so far. */
    public val received: Long = 0,
) {
    /** This check after [count] more bytes. */
    public fun received(count: Int): BodyCheck = copy(received = received + count)

    /** Fault that no further bytes can undo; null while the body may still be complete. */
    public fun fault(): ResponseFault? {
        val allowed = minOf(announced ?: limit, limit)
        return if (received > allowed) ResponseFault.TooLong(received, allowed) else null
    }

    /** Fault of a body that has ended, null if complete; [clean] is true if the transport saw a regular end. */
    public fun endFault(clean: Boolean): ResponseFault? {
        val short = !clean || (announced != null && received < announced)
        return fault() ?: if (short) ResponseFault.Truncated(received, announced) else null
    }
}

/**
 * Checks the events of a streamed completion. Immutable.
 *
 * A complete stream has a finish reason, then the end mark and nothing after it, and at most [maxTokens] tokens.
 */
public data class StreamCheck(
    /** Largest number of tokens that the request allows. */
    public val maxTokens: Long,
    /** Tokens received so far. */
    public val tokens: Long = 0,
    /** True once an event carried a finish reason. */
    public val finished: Boolean = false,
    /** True once the end mark was received. */
    public val ended: Boolean = false,
    /** Events after the end mark, and events with tokens after the finish reason. */
    public val surplus: Long = 0,
) {
    /** This check after an event with [count] tokens; [finishes] is true if it carries the finish reason. */
    public fun event(count: Int, finishes: Boolean): StreamCheck {
        val late = ended || (finished && count > 0)
        return copy(
            tokens = tokens + count,
            finished = finished || finishes,
            surplus = surplus + if (late) 1 else 0,
        )
    }

    /** This check after the end mark. */
    public fun end(): StreamCheck = if (ended) copy(surplus = surplus + 1) else copy(ended = true)

    /** Fault that no further event can undo; null while the stream may still be complete. */
    public fun fault(): ResponseFault? = when {
        tokens > maxTokens -> ResponseFault.TooLong(tokens, maxTokens)
        surplus > 0 -> ResponseFault.TooLong(tokens + surplus, tokens)
        ended && !finished -> ResponseFault.Truncated(tokens)
        else -> null
    }

    /** Fault of a stream whose connection has ended; null if it was complete. */
    public fun endFault(): ResponseFault? = fault() ?: if (ended) null else ResponseFault.Truncated(tokens)
}
