package dev.vanillarun.core.key

import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.id.CustomerId
import java.security.MessageDigest
import java.util.HexFormat

/** Result of looking up the key of a caller. */
public sealed interface KeyLookup {
    /** The key is valid and belongs to one customer. */
    public data class Found(
        /** Customer that owns the key. */
        public val customer: CustomerId,
        /** Public identifier of the key. */
        public val keyId: String,
    ) : KeyLookup

    /** The key was withdrawn. */
    public data class Withdrawn(
        /** Public identifier of the key. */
        public val keyId: String,
    ) : KeyLookup

    /** The key belongs to no customer, or is listed by several. */
    public data object Unknown : KeyLookup
}

/**
 * Index of the keys of one configuration by their SHA-256 hash. Built once for each configuration.
 *
 * A hash that is listed as withdrawn anywhere is withdrawn. A hash that several customers list belongs to none of them.
 */
public class KeyIndex(config: RolloutConfig) {
    private class Entry(val hash: ByteArray, val lookup: KeyLookup)

    private val buckets: Map<Int, List<Entry>> = config.customers
        .flatMap { customer -> customer.keys.map { key -> key.sha256.lowercase() to (customer.id to key) } }
        .groupBy({ it.first }, { it.second })
        .mapNotNull { (hex, owners) ->
            val hash = parse(hex) ?: return@mapNotNull null
            val withdrawn = owners.firstOrNull { (_, key) -> key.withdrawn }
            val (customer, key) = owners.first()
            val lookup = when {
                withdrawn != null -> KeyLookup.Withdrawn(withdrawn.second.id)
                owners.any { it.first != customer } -> KeyLookup.Unknown
                else -> KeyLookup.Found(customer, key.id)
            }
            Entry(hash, lookup)
        }
        .groupBy { bucketOf(it.hash) }

    /** Looks up a key by its [secret]. */
    public fun find(secret: String): KeyLookup = findHash(sha256(secret))

    /** Looks up a key by the SHA-256 [hash] of its secret. Hashes are compared in constant time. */
    public fun findHash(hash: ByteArray): KeyLookup =
        buckets[bucketOf(hash)].orEmpty().firstOrNull { MessageDigest.isEqual(it.hash, hash) }?.lookup
            ?: KeyLookup.Unknown

    /** Hash functions for the secrets of keys. */
    public companion object {
        private const val HASH_BYTES = 32
        private const val BUCKET_BYTES = 4

        /** SHA-256 of the UTF-8 encoding of [secret]. */
        public fun sha256(secret: String): ByteArray =
            MessageDigest.getInstance("SHA-256").digest(secret.encodeToByteArray())

        /** SHA-256 of [secret] in the form used in the configuration: lower-case hexadecimal. */
        public fun hexOf(secret: String): String = HexFormat.of().formatHex(sha256(secret))

        private fun bucketOf(hash: ByteArray): Int = hash.take(BUCKET_BYTES).hashCode()

        private fun parse(hex: String): ByteArray? = try {
            HexFormat.of().parseHex(hex).takeIf { it.size == HASH_BYTES }
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}
