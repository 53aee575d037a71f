package dev.vanillarun.core.answer

/** Status line and fields of an HTTP/1 response, as a decoder reports them. */
public data class DecodedHead(
    /** Protocol version, for instance `HTTP/1.1`. */
    public val version: String,
    /** Reason phrase; may be empty. */
    public val reason: String,
    /** Names and values of the fields, in the order received. */
    public val fields: List<Pair<String, String>> = emptyList(),
)

/** Reason for which the head of a response must not be used. */
public sealed interface HeadFault {
    /** The message is of another protocol or version. */
    public data class Version(
        /** Version as received. */
        public val received: String,
    ) : HeadFault

    /** The head holds the status line of another response, so that its parts belong to different responses. */
    public data class SecondStatusLine(
        /** Name of the field that holds it; null for the reason phrase. */
        public val field: String?,
    ) : HeadFault

    /** A field that may stand once stands again, so that readers differ in which value counts. */
    public data class RepeatedField(
        /** Name of the field, as received the second time. */
        public val field: String,
    ) : HeadFault
}

/**
 * Fault of this head; null if it is the head of a single response. [singleFields] are the names, in lower case, of
 * fields that may stand once, besides those of HTTP itself.
 *
 * A head is decoded from two responses if a target sends the beginning of one, and then another as a whole. Wherever
 * the first is cut, the status line of the second stands within a line of the decoded head, or at the start of a line
 * where a field is due, which no decoder accepts.
 */
public fun DecodedHead.fault(singleFields: Set<String> = emptySet()): HeadFault? = when {
    version !in Versions -> HeadFault.Version(version)

    StatusLine.containsMatchIn(reason) -> HeadFault.SecondStatusLine(field = null)

    else -> fields.firstOrNull { (name, value) ->
        StatusLine.containsMatchIn(name) || StatusLine.containsMatchIn(value)
    }
        ?.let { (name, _) -> HeadFault.SecondStatusLine(name) }
        ?: repeatedField(singleFields)?.let { HeadFault.RepeatedField(it) }
}

private fun DecodedHead.repeatedField(singleFields: Set<String>): String? {
    val seen = HashSet<String>()
    return fields.map { it.first }.firstOrNull { name ->
        val key = name.lowercase()
        (key in SingleFields || key in singleFields) && !seen.add(key)
    }
}

/** Fields of HTTP that decide how a response is read and may stand once in it, in lower case. */
private val SingleFields =
    setOf("content-length", "transfer-encoding", "content-type", "content-range", "location", "retry-after")

private val Versions = setOf("HTTP/1.0", "HTTP/1.1")

/** Beginning of a status line, RFC 9112, section 4; spaces as lenient decoders accept them. */
private val StatusLine = Regex("""HTTP/\d+\.\d+[ \t]+\d{3}""")
