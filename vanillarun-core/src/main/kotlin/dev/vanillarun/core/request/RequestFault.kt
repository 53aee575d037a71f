package dev.vanillarun.core.request

/** Reason for which a request of a caller must not run: it is not one whole message, or not a clear one. */
public sealed interface RequestFault {
    /** Names the place of the fault and its mend, for the caller. */
    public val message: String

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

    /** A field that may stand once stands several times. */
    public data class RepeatedField(
        /** Name of the field. */
        public val name: String,
    ) : RequestFault {
        override val message: String
            get() = "$name: stands more than once; send it once"
    }
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
