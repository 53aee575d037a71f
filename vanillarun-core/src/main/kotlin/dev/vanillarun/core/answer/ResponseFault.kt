package dev.vanillarun.core.answer

import dev.vanillarun.core.id.RequestId

/** Reason for which a response must not reach the caller as a success. */
public sealed interface ResponseFault {
    /** The response ended early. */
    public data class Truncated(
        /** Bytes received, or tokens of a stream. */
        public val received: Long,
        /** Announced length in bytes; null if there was none, as for a stream. */
        public val announced: Long? = null,
    ) : ResponseFault

    /** The response is longer than announced or allowed. */
    public data class TooLong(
        /** Bytes received, or tokens and surplus events of a stream. */
        public val received: Long,
        /** Most that was allowed, in the same unit. */
        public val allowed: Long,
    ) : ResponseFault

    /** The response belongs to another request, or does not show that it belongs to this one. */
    public data class WrongRequest(
        /** Request that was sent. */
        public val expected: RequestId,
        /** Request id that the response echoes; null if it echoes none although the target has to. */
        public val named: String?,
    ) : ResponseFault
}
