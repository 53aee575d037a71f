package dev.vanillarun.core.request

/** Reason for which a request of a caller must not run: it is not one whole message, or not a clear one. */
public sealed interface RequestFault {
    /** Names the place of the fault and its mend, for the caller. */
    public val message: String

    /** Name of the kind of fault in metrics; one of a fixed set. */
    public val label: String get() = this::class.simpleName.orEmpty().replace(WordStart, "_$0").lowercase()

    /** The body has a transfer coding that is not supported, so that its end is unknown. */
    public data class UnknownCoding(
        /** Codings as sent. */
        public val codings: String,
    ) : RequestFault {
        override val message: String
            get() = "Transfer-Encoding: only a single chunked is supported; send the body in chunks or with a length"
    }

    /** The protocol does not allow the transfer coding in this message, so that readers differ about its end. */
    public data object ForbiddenCoding : RequestFault {
        override val message: String
            get() = "Transfer-Encoding: send chunked once, and only in HTTP/1.1"
    }

    /** The body cannot be decoded. */
    public data object Undecodable : RequestFault {
        override val message: String
            get() = "body: a chunk or trailer cannot be decoded; send the size of each chunk in hexadecimal digits"
    }

    /** The connection ended before the message did. */
    public data object Truncated : RequestFault {
        override val message: String
            get() = "body: the connection ended before the body; send it whole"
    }

    /** The message has begun and stands still before its end. */
    public data object Stalled : RequestFault {
        override val message: String
            get() = "body: nothing arrived for too long; send the body without long pauses"
    }

    /** The first line is none of a request. */
    public data object InvalidRequestLine : RequestFault {
        override val message: String
            get() = "request line: cannot be read; send a method, a path and HTTP/1.1, each after one space"
    }

    /** The first line is longer than any that is read. */
    public data object LongRequestLine : RequestFault {
        override val message: String
            get() = "request line: too long; send a shorter path and query"
    }

    /** A field has no name, an invalid one, or an invalid value. */
    public data object InvalidField : RequestFault {
        override val message: String
            get() = "fields: one cannot be read; send each as a name, a colon right after it, and a value"
    }

    /** The fields are longer than any that are read. */
    public data object LongFields : RequestFault {
        override val message: String
            get() = "fields: too long together; send fewer or shorter ones"
    }

    /** The length of the body is not one number. */
    public data object InvalidLength : RequestFault {
        override val message: String
            get() = "Content-Length: is not one number of digits; send it once, in decimal digits"
    }

    /** The body has a length and chunks, so that readers differ about its end. */
    public data object LengthBesideCoding : RequestFault {
        override val message: String
            get() = "Content-Length: stands beside Transfer-Encoding; send one of them"
    }

    /** A field that may stand once stands several times. */
    public data class RepeatedField(
        /** Name of the field. */
        public val name: String,
    ) : RequestFault {
        override val message: String
            get() = "$name: stands more than once; send it once"
    }
}

/** What of a head could not be read. */
public enum class UnreadPart {
    /** The first line. */
    REQUEST_LINE,

    /** The first line, as it is too long. */
    LONG_REQUEST_LINE,

    /** The fields, or what they say about the body. */
    FIELDS,

    /** The fields, as they are too long. */
    LONG_FIELDS,
}

/**
 * Fault of the head of a request of [version] whose fields `Content-Length` are [lengths] and `Transfer-Encoding` are
 * [codings], as far as they were read before [unread], which is null if the head was read whole. Null if there is no
 * fault: then the end of the body is known.
 */
public fun headFault(
    version: String,
    lengths: List<String>,
    codings: List<String>,
    unread: UnreadPart? = null,
): RequestFault? = when {
    unread == UnreadPart.REQUEST_LINE -> RequestFault.InvalidRequestLine
    unread == UnreadPart.LONG_REQUEST_LINE -> RequestFault.LongRequestLine
    unread == UnreadPart.LONG_FIELDS -> RequestFault.LongFields
    else -> codingFault(version, codings) ?: lengthFault(lengths, codings) ?: unread?.let { RequestFault.InvalidField }
}

private fun lengthFault(lengths: List<String>, codings: List<String>): RequestFault? = when {
    lengths.isEmpty() -> null
    codings.isNotEmpty() -> RequestFault.LengthBesideCoding
    lengths.size > 1 -> RequestFault.RepeatedField("Content-Length")
    lengths.single().trim(' ', '\t').let { it.isEmpty() || !it.all(Digits::contains) } -> RequestFault.InvalidLength
    else -> null
}

/** Fault of a request of [version] whose fields `Transfer-Encoding` are [codings]; null if its body's end is known. */
public fun codingFault(version: String, codings: List<String>): RequestFault? {
    val names = codings.flatMap { it.split(',') }.map { it.trim(' ', '\t') }
    return when {
        codings.isEmpty() -> null
        names.any { !it.equals(CHUNKED, ignoreCase = true) } -> RequestFault.UnknownCoding(codings.joinToString())
        names.size > 1 || version != VERSION_WITH_CODINGS -> RequestFault.ForbiddenCoding
        else -> null
    }
}

private const val CHUNKED = "chunked"

/** RFC 9112, section 6.1. */
private const val VERSION_WITH_CODINGS = "HTTP/1.1"

private val Digits = '0'..'9'
private val WordStart = Regex("(?<!^)[A-Z]")
