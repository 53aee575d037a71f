package dev.vanillarun.daemon.caller

import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.config.KeyOwner
import java.security.MessageDigest
import java.util.HexFormat

/** The secret a caller sent, and its hash. It has no printable form. */
public class Secret(private val value: String) {
    /** SHA-256, lower-case hexadecimal. */
    public val sha256: String = HexFormat.of().formatHex(
        MessageDigest.getInstance("SHA-256").digest(value.toByteArray()),
    )

    /** True if [text] holds the secret. */
    public fun isIn(text: String): Boolean = value in text

    /** True if [bytes] hold the secret. */
    public fun isIn(bytes: ByteArray): Boolean = bytes.isNotEmpty() && isIn(String(bytes, Charsets.ISO_8859_1))

    override fun toString(): String = "Secret(hidden)"

    /** Parsing. */
    public companion object {
        private const val SCHEME = "bearer "

        /** The secret of an `Authorization` header, or null if it is not a bearer key. */
        public fun fromAuthorization(header: String?): Secret? = header
            ?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }
            ?.substring(SCHEME.length)
            ?.trim()
            ?.takeIf(String::isNotEmpty)
            ?.let(::Secret)
    }
}

/** Who sent a request. */
public sealed interface Identity {
    /** A customer with a valid key. */
    public data class Authenticated(
        /** Key and customer. */
        public val owner: KeyOwner,
        /** The secret, for finding copies of it in the request. */
        public val secret: Secret,
    ) : Identity

    /** No key was sent; only open routes serve it. */
    public data object Anonymous : Identity

    /** A key was sent that is unknown or withdrawn. */
    public data object Rejected : Identity
}

/** Finds out who sent a request with this `Authorization` header. */
public fun ActiveConfig.identify(authorization: String?): Identity {
    if (authorization == null) return Identity.Anonymous
    val secret = Secret.fromAuthorization(authorization) ?: return Identity.Rejected
    return keyOwner(secret.sha256)?.let { Identity.Authenticated(it, secret) } ?: Identity.Rejected
}
