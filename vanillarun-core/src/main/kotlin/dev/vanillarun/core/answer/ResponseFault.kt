package dev.vanillarun.core.answer

import dev.vanillarun.core.id.RequestId

/** Why an answer must not reach the caller as a success. */
public sealed interface ResponseFault {
    /** The answer ended early. */
    public data class Truncated(
        /** Bytes, events or tokens that came, as the check counts them. */
        public val received: Long,
        /** What was announced; null for a stream without its end mark. */
        public val announced: Long? = null,
    ) : ResponseFault

    /** More came than was announced or asked for. */
    public data class TooLong(
        /** What came. */
        public val received: Long,
        /** What was allowed. */
        public val allowed: Long,
    ) : ResponseFault

    /** The answer belongs to another request. */
    public data class WrongRequest(
        /** Request that was asked. */
        public val expected: RequestId,
        /** Request that the answer names; null if it names none although the target always does. */
        public val named: String?,
    ) : ResponseFault
}
