package dev.vanillarun.standin.engine

import java.security.MessageDigest

/** What happened to a prefix. */
public data class CacheChange(
    /** `stored` or `evicted`. */
    public val kind: String,
    /** Prefix, see [PrefixCache.prefixOf]. */
    public val prefix: String,
)

/** Prompts whose KV cache is kept, the least recently used evicted first. Not safe for concurrent use. */
public class PrefixCache(private val capacity: Int) {
    private val prompts = LinkedHashMap<String, String>(capacity, LOAD_FACTOR, true)

    /** Prefixes kept. */
    public val size: Int get() = prompts.size

    /** Characters of [prompt] that need not be read in, because an earlier prompt began with the same. */
    public fun cachedChars(prompt: String): Int = prompts[prefixOf(prompt)]?.commonPrefixWith(prompt)?.length ?: 0

    /** Keeps [prompt]; returns what changed. */
    public fun store(prompt: String): List<CacheChange> {
        if (capacity == 0) return emptyList()
        val prefix = prefixOf(prompt)
        val known = prompts.put(prefix, prompt) != null
        val evicted = if (prompts.size > capacity) prompts.keys.first() else null
        evicted?.let(prompts::remove)
        return buildList {
            if (!known) add(CacheChange("stored", prefix))
            evicted?.let { add(CacheChange("evicted", it)) }
        }
    }

    /** The prompt that is kept under [prefix]. */
    public fun export(prefix: String): String? = prompts[prefix]

    /** Naming of prefixes. */
    public companion object {
        private const val LOAD_FACTOR = 0.75f

        /** Characters of a prompt that name its prefix. */
        public const val PREFIX_CHARS: Int = 256

        /** SHA-256 of the first [PREFIX_CHARS] characters of [prompt], in hexadecimal. */
        public fun prefixOf(prompt: String): String {
            val digest = MessageDigest.getInstance("SHA-256").digest(prompt.take(PREFIX_CHARS).encodeToByteArray())
            return digest.joinToString("") { "%02x".format(it) }
        }
    }
}
