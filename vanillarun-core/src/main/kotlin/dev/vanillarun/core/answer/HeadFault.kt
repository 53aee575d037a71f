package dev.vanillarun.core.answer

/** Reason for which the head of a response must not be used. */
public sealed interface HeadFault {
    /** The message does not begin with the status line of HTTP/1. */
    public data class NoStatusLine(
        /** Beginning of the first line as received. */
        public val received: String,
    ) : HeadFault

    /** The status is none that HTTP defines. */
    public data class UnknownStatus(
        /** Status code as received. */
        public val status: Int,
    ) : HeadFault

    /** The head holds the status line of another response, so that its parts belong to different responses. */
    public data class SecondStatusLine(
        /** Number of the line that holds it, from 1. */
        public val line: Int,
    ) : HeadFault

    /** A field that may stand once stands again, so that readers differ in which value counts. */
    public data class RepeatedField(
        /** Name of the field, as received the second time. */
        public val field: String,
    ) : HeadFault
}
