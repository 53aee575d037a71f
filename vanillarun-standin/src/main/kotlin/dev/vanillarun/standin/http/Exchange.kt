package dev.vanillarun.standin.http

import kotlinx.coroutines.flow.Flow

/** A call as an operation of a stand-in sees it. */
public class Exchange(
    /** Operation, as faults name it. */
    public val operation: String,
    /** HTTP method. */
    public val method: String,
    /** Path and query. */
    public val uri: String,
    /** Parameters of path and query; repeated ones are joined by line feeds. */
    public val parameters: Map<String, String>,
    /** All headers, names in lower case. */
    public val headers: Map<String, List<String>>,
    /** Body as text. */
    public val body: String,
    private val onEffect: (Exchange) -> Unit,
) {
    /** First value of the header [name]. */
    public fun header(name: String): String? = headers[name.lowercase()]?.firstOrNull()

    /** Writes the call into the journal; an operation says so at the moment when it takes effect. */
    public fun tookEffect(): Unit = onEffect(this)
}

/** Answer of an operation. */
public sealed interface Reply {
    /** An answer that is known as a whole. */
    public data class Whole(
        /** HTTP status. */
        public val status: Int = OK,
        /** Body. */
        public val body: String = "{}",
        /** Media type of the body. */
        public val contentType: String = JSON,
        /** Further headers. */
        public val headers: Map<String, String> = emptyMap(),
    ) : Reply

    /** Server-sent events. */
    public class Streamed(
        /** Text of each event, with its blank line. */
        public val events: Flow<String>,
        /** Further headers. */
        public val headers: Map<String, String> = emptyMap(),
    ) : Reply

    /** Constants of answers. */
    public companion object {
        /** Status of a call that was served. */
        public const val OK: Int = 200

        /** Media type of JSON. */
        public const val JSON: String = "application/json"

        /** An answer that refuses a call, with a reason for people. */
        public fun refusal(status: Int, reason: String, retryAfterSeconds: Int? = null): Whole = Whole(
            status = status,
            body = wireJson.encodeToString(mapOf("error" to reason)),
            headers = retryAfterSeconds?.let { mapOf("Retry-After" to it.toString()) }.orEmpty(),
        )
    }
}

/** True if the call presents [credential] as bearer; an empty credential asks for nothing. */
internal fun Exchange.presents(credential: String): Boolean =
    credential.isEmpty() || header("Authorization") == "Bearer $credential"
