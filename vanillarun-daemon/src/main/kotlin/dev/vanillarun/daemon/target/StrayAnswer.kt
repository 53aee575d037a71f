package dev.vanillarun.daemon.target

import kotlin.time.Duration

/** What a connection to a target had carried when an exchange began on it, for events. */
public data class ConnectionUse(
    /** Identity of the connection within this process. */
    public val connection: String,
    /** Number of the exchange on the connection, from 1. */
    public val exchange: Int,
    /** Time since the connection was opened. */
    public val age: Duration,
    /** Id of the request before on the connection; null if there was none or it had no id. */
    public val previousRequest: String? = null,
)

/** Why bytes from a target were not taken for the answer to a request. */
public enum class StrayKind {
    /** They came while the connection was idle. */
    IDLE,

    /** They followed the end of an answer. */
    EXCESS,

    /** They are no answer in the protocol. */
    MALFORMED,

    /** They are an answer that names another request, or none. */
    OTHER_REQUEST,

    /** They are the same answer as one to an earlier attempt of the request, and another followed. */
    REPEATED,

    ;

    /** Name in events and metrics. */
    public val label: String get() = name.lowercase()
}

/** Bytes from a target that answer no request of this process. */
public data class StrayAnswer(
    /** Address of the target, `host:port`. */
    public val address: String,
    /** Why the bytes are no answer to a request. */
    public val kind: StrayKind,
    /** Use of the connection that they came on; null before its first exchange, or if the client does not know it. */
    public val connection: ConnectionUse?,
    /** Id of the request that was waiting for its answer; null if none was, or if it has no id. */
    public val request: String? = null,
    /** What was wrong, as text. */
    public val detail: String = "",
)

/** Receives what targets sent without being an answer; called on the threads of the client. */
public fun interface StrayAnswerListener {
    /** Reports [answer]; must not block. */
    public fun received(answer: StrayAnswer)
}
