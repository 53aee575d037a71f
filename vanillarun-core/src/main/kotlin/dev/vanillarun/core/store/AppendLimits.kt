package dev.vanillarun.core.store

/** Limits of a [TopicLog] on what is appended; the defaults are those of the users' platform. */
public data class AppendLimits(
    /** Maximum size of a record with its key, in bytes. */
    public val recordBytes: Int = 262_144,
    /** Maximum size of all records of one append, in bytes. */
    public val appendBytes: Int = 2_097_152,
    /** Maximum size of a key, in bytes of UTF-8. */
    public val keyBytes: Int = 255,
) {
    /** Describes why [records] cannot be appended together; null if they can. */
    public fun violation(records: List<TopicRecord>): String? {
        val longKey = records.maxOfOrNull { it.keySize } ?: 0
        val record = records.maxOfOrNull { it.size } ?: 0
        val total = records.sumOf { it.size }
        return when {
            longKey > keyBytes -> "a key has $longKey bytes, of at most $keyBytes"
            record > recordBytes -> "a record has $record bytes, of at most $recordBytes"
            total > appendBytes -> "the records have $total bytes, of at most $appendBytes together"
            else -> null
        }
    }

    /** True if [record] can be appended by itself. */
    public fun allows(record: TopicRecord): Boolean = violation(listOf(record)) == null

    private val TopicRecord.keySize: Int get() = key.encodeToByteArray().size

    /** Size in the store: the lengths of record and key, the key and the value. */
    private val TopicRecord.size: Int get() = Int.SIZE_BYTES + 1 + keySize + (value?.size ?: 0)
}
