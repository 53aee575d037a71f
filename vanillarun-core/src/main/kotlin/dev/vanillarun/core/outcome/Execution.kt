package dev.vanillarun.core.outcome

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a target ran a request. A value is only used if it is known to be true. */
@Serializable
public enum class Execution(
    /** Value of the `X-Vanillarun-Execution` header and of the `execution` field of an error body. */
    public val wire: String,
) {
    /** No byte of the request was sent to a target. */
    @SerialName("not-run")
    NOT_RUN("not-run"),

    /** A target ran the request. */
    @SerialName("ran")
    RAN("ran"),

    /** A target may or may not have run the request. */
    @SerialName("unknown")
    UNKNOWN("unknown"),
}
