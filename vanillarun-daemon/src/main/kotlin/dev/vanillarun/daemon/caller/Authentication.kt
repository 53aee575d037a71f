package dev.vanillarun.daemon.caller

import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.config.KeyOwner
import java.security.MessageDigest
import java.util.HexFormat

/** The secret that a caller sent, and its hash. [toString] does not reveal it. */
public class Secret(private val value: String) {
    /** SHA-256 of the UTF-8 bytes of the secret, in lower-case hexadecimal. */
    public val sha256: String = HexFormat.of().formatHex(
        MessageDigest.getInstance("SHA-256").digest(value.toByteArray()),
    )

    /** True if [text] contains the secret. */
    public fun isIn(text: String): Boolean = value in text

    /** True if [bytes], decoded as ISO 8859-1, contain the secret. */
    public fun isIn(bytes: ByteArray): Boolean = bytes.isNotEmpty() && isIn(String(bytes, Charsets.ISO_8859_1))

    override fun toString(): String = "Secret(hidden)"

    /** Parses the `Authorization` header. */
    public companion object {
        private const val SCHEME = "bearer "

        /** The bearer token of an `Authorization` header; null if the scheme is another one or the token is empty. */
        public fun fromAuthorization(header: String?): Secret? = header
            ?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }
            ?.substring(SCHEME.length)
            ?.trim()
            ?.takeIf(String::isNotEmpty)
            ?.let(::Secret)
    }
}

/** Result of authenticating the caller of a request. */
public sealed interface Identity {
    /** The caller is a customer with a valid key. */
    public data class Authenticated(
        /** The key and its customer in the active configuration. */
        public val owner: KeyOwner,
        /** The secret as sent, used to reject requests that contain a copy of it. */
        public val secret: Secret,
    ) : Identity

    /** No key was sent; only open routes accept the request. */
    public data object Anonymous : Identity

    /** The key is malformed, unknown or withdrawn. */
    public data object Rejected : Identity
}

/** Authenticates the value of an `Authorization` header; null means that the header is absent. */
public fun ActiveConfig.identify(authorization: String?): Identity {
    if (authorization == null) return Identity.Anonymous
    val secret = Secret.fromAuthorization(authorization) ?: return Identity.Rejected
    return keyOwner(secret.sha256)?.let { Identity.Authenticated(it, secret) } ?: Identity.Rejected
}
