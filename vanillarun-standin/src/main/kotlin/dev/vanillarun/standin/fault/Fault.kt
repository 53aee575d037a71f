package dev.vanillarun.standin.fault

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What goes wrong with a call. */
@Serializable
public enum class FaultKind {
    /** The call is refused with 503 and has no effect. */
    @SerialName("refuse")
    REFUSE,

    /** The call is served after [Fault.delayMs]. */
    @SerialName("slow")
    SLOW,

    /** The call is never answered; its connection stays open. */
    @SerialName("hang")
    HANG,

    /** This and every later call on the same connection are never answered; new connections work. */
    @SerialName("silence")
    SILENCE,

    /** The process ends. */
    @SerialName("crash")
    CRASH,

    /** The call takes effect and the connection is closed in the middle of its answer. */
    @SerialName("cut_short")
    CUT_SHORT,

    /** The call takes effect and gets the answer of the other call that is crossed with it. */
    @SerialName("cross")
    CROSS,

    /** The call takes effect and its connection is closed without an answer. */
    @SerialName("drop_reply")
    DROP_REPLY,

    /** The call has no effect and is answered with 500; orders of a swap are answered with 502. */
    @SerialName("fail")
    FAIL,
}

/** A fault that is switched on at a stand-in's control endpoint. */
@Serializable
public data class Fault(
    /** Name under which it is switched off. */
    public val id: String,
    /** Operation that it hits, `*` for all. */
    public val operation: String,
    /** What goes wrong. */
    public val kind: FaultKind,
    /** Calls that it hits; zero means until it is removed. */
    public val count: Int = 1,
    /** Delay of a slow call, or the time that a crossed call waits for its counterpart. */
    @SerialName("delay_ms")
    public val delayMs: Long = 0,
    /** Text that the body of a call must contain; empty matches all. */
    public val match: String = "",
    /** Events of a streamed answer that are sent before the fault sets in. */
    @SerialName("after_events")
    public val afterEvents: Int = 0,
) {
    /** True if a call of [operation] with [body] is hit. */
    public fun hits(operation: String, body: String): Boolean =
        (this.operation == ANY || this.operation == operation) && match in body

    /** Constants of faults. */
    public companion object {
        /** Matches every operation. */
        public const val ANY: String = "*"
    }
}
