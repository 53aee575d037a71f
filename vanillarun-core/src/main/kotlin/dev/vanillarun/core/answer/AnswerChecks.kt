package dev.vanillarun.core.answer

import dev.vanillarun.core.id.RequestId

/** Checks the request identity that an answer [named] against the one that was [asked]. */
public fun requestIdFault(asked: RequestId, named: String?, echoRequired: Boolean): ResponseFault? {
    val wrong = if (named == null) echoRequired else named != asked.value
    return if (wrong) ResponseFault.WrongRequest(asked, named) else null
}

/** Counts the bytes of a body against its announced length. Immutable. */
public data class BodyCheck(
    /** Value of `Content-Length`; null if the transport marks the end itself. */
    public val announced: Long?,
    /** Bytes that are accepted at most. */
    public val limit: Long = Long.MAX_VALUE,
    /** Bytes so far. */
    public val received: Long = 0,
) {
    /** [count] more bytes came. */
    public fun received(count: Int): BodyCheck = copy(received = received + count)

    /** Fault that is certain by now; null while the body may still be whole. */
    public fun fault(): ResponseFault? {
        val allowed = minOf(announced ?: limit, limit)
        return if (received > allowed) ResponseFault.TooLong(received, allowed) else null
    }

    /** Fault of a body that ended; [clean] tells whether the transport saw its regular end. */
    public fun endFault(clean: Boolean): ResponseFault? {
        val short = !clean || (announced != null && received < announced)
        return fault() ?: if (short) ResponseFault.Truncated(received, announced) else null
    }
}

/**
 * Follows the events of a streamed completion. Immutable.
 *
 * A whole stream has a finish reason, then the end mark, then nothing, and no more tokens than were asked for.
 */
public data class StreamCheck(
    /** Tokens that were asked for. */
    public val maxTokens: Long,
    /** Tokens so far. */
    public val tokens: Long = 0,
    /** True once a finish reason came. */
    public val finished: Boolean = false,
    /** True once the end mark came. */
    public val ended: Boolean = false,
    /** Events after the end mark, or tokens after the finish reason. */
    public val surplus: Long = 0,
) {
    /** An event with [count] tokens came; [finishes] tells whether it carries the finish reason. */
    public fun event(count: Int, finishes: Boolean): StreamCheck {
        val late = ended || (finished && count > 0)
        return copy(
            tokens = tokens + count,
            finished = finished || finishes,
            surplus = surplus + if (late) 1 else 0,
        )
    }

    /** The end mark came. */
    public fun end(): StreamCheck = if (ended) copy(surplus = surplus + 1) else copy(ended = true)

    /** Fault that is certain by now; null while the stream may still be whole. */
    public fun fault(): ResponseFault? = when {
        tokens > maxTokens -> ResponseFault.TooLong(tokens, maxTokens)
        surplus > 0 -> ResponseFault.TooLong(tokens + surplus, tokens)
        ended && !finished -> ResponseFault.Truncated(tokens)
        else -> null
    }

    /** Fault of a stream whose connection ended. */
    public fun endFault(): ResponseFault? = fault() ?: if (ended) null else ResponseFault.Truncated(tokens)
}
