package dev.vanillarun.core.quarantine

import java.security.MessageDigest

/** Hash of a request's content, identical on every instance and for every resend of the same bytes. */
@JvmInline
public value class Fingerprint(
    /** SHA-256 as lower-case hexadecimal digits. */
    public val hex: String,
) {
    override fun toString(): String = hex

    /** Computes fingerprints. */
    public companion object {
        /** Returns the fingerprint of a request with [method], [path] and [body]; headers are ignored. */
        public fun of(method: String, path: String, body: ByteArray): Fingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            digest.update("$method $path\n".encodeToByteArray())
            return Fingerprint(digest.digest(body).joinToString("") { "%02x".format(it) })
        }
    }
}
