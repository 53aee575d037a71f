package dev.vanillarun.core.claim

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.log.StreamName
import java.security.MessageDigest
import java.util.HexFormat

/** Identifies an idempotency key of one customer on one route, by a hash of the three. */
@JvmInline
public value class ClaimKey(
    /** SHA-256, lower-case hexadecimal. */
    public val hash: String,
) {
    /** Log stream of the claims of this key; many keys share a stream, and a claimant reads only this one. */
    public val stream: StreamName get() = StreamName("claim/${hash.take(STREAM_DIGITS)}")

    /** Factory of claim keys. */
    public companion object {
        private const val STREAM_DIGITS = 3

        /** Claim key of the idempotency key [key] that [customer] sends on [route]. */
        public fun of(customer: CustomerId, route: RouteName, key: String): ClaimKey = ClaimKey(
            hashOf(customer.value.encodeToByteArray(), route.value.encodeToByteArray(), key.encodeToByteArray()),
        )
    }
}

/** Hash of the content of a request; reuse of an idempotency key with another fingerprint is an error. */
@JvmInline
public value class RequestFingerprint(
    /** SHA-256, lower-case hexadecimal. */
    public val hash: String,
) {
    /** Factory of fingerprints. */
    public companion object {
        /** Fingerprint of a request with this method, path and body; headers do not count. */
        public fun of(method: String, path: String, body: ByteArray): RequestFingerprint =
            RequestFingerprint(hashOf(method.encodeToByteArray(), path.encodeToByteArray(), body))
    }
}

/** SHA-256 of length-prefixed parts, so that different lists of parts never give the same input. */
private fun hashOf(vararg parts: ByteArray): String {
    val digest = MessageDigest.getInstance("SHA-256")
    for (part in parts) {
        digest.update("${part.size}:".encodeToByteArray())
        digest.update(part)
    }
    return HexFormat.of().formatHex(digest.digest())
}
