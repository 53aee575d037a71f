package dev.vanillarun.core.answer

/**
 * Fault of a response's head whose fields have [names], in the order received; null if no field that may stand once
 * stands again. [singleFields] are the names, in lower case, of such fields besides those of HTTP itself.
 */
public fun repeatedField(names: List<String>, singleFields: Set<String> = emptySet()): HeadFault.RepeatedField? {
    val seen = HashSet<String>()
    val repeated = names.firstOrNull { name ->
        val key = name.lowercase()
        (key in SingleFields || key in singleFields) && !seen.add(key)
    }
    return repeated?.let { HeadFault.RepeatedField(it) }
}

/** Fields of HTTP that decide how a response is read and may stand once in it, in lower case. */
private val SingleFields =
    setOf("content-length", "transfer-encoding", "content-type", "content-range", "location", "retry-after")
