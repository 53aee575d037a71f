package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobRecordCodec
import dev.vanillarun.core.store.AppendLimits
import dev.vanillarun.core.store.TopicRecord
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Encodes the records of jobs for the store and compresses large ones. */
internal object JobRecords {
    /** Size from which a record is compressed; the store accepts records of at most 256 KB. */
    private const val COMPRESSION_THRESHOLD_BYTES = 100_000

    /** Magic number of gzip; no JSON text begins with it. */
    private const val GZIP_MAGIC_1: Byte = 0x1f
    private const val GZIP_MAGIC_2: Byte = 0x8b.toByte()

    /**
     * Encodes [record] as records to append together; [writer] is unique to this process run. The items of a large job
     * are distributed over as many records as [limits] require, unless a single item exceeds them.
     */
    fun encode(record: JobRecord, writer: String, limits: AppendLimits = AppendLimits()): List<TopicRecord> {
        var itemsPerRecord = ((record as? JobRecord.Submitted)?.content?.items?.size ?: 0).coerceAtLeast(1)
        while (true) {
            val records = JobRecordCodec.encode(record, writer, itemsPerRecord)
                .map { TopicRecord(it.key, it.value?.let(::compressed)) }
            if (itemsPerRecord == 1 || records.all(limits::allows)) return records
            itemsPerRecord = (itemsPerRecord + 1) / 2
        }
    }

    /** Decodes [value] under [key]; null for a tombstone, a damaged record or one of an unknown format. */
    fun decode(key: String, value: ByteArray?): JobRecord? = try {
        JobRecordCodec.decode(key, value?.let(::decompressed))
    } catch (_: IOException) {
        null
    }

    /** Compression saves at least a third of a large job, since its bodies are Base64. */
    private fun compressed(text: ByteArray): ByteArray {
        if (text.size < COMPRESSION_THRESHOLD_BYTES) return text
        val out = ByteArrayOutputStream()
        GZIPOutputStream(out).use { it.write(text) }
        return out.toByteArray()
    }

    private fun decompressed(value: ByteArray): ByteArray {
        val isCompressed = value.size > 1 && value[0] == GZIP_MAGIC_1 && value[1] == GZIP_MAGIC_2
        return if (isCompressed) GZIPInputStream(value.inputStream()).use { it.readBytes() } else value
    }
}
