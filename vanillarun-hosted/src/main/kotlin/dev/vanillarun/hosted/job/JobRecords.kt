package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobRecordCodec
import dev.vanillarun.core.store.TopicRecord
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Records of jobs as they travel to the store: large ones are compressed. */
internal object JobRecords {
    /** Bytes from which a record is compressed; the store may take records of 256 KB at most. */
    private const val COMPRESSION_THRESHOLD_BYTES = 100_000

    /** First bytes of the gzip format; text in JSON begins otherwise. */
    private const val GZIP_MAGIC_1: Byte = 0x1f
    private const val GZIP_MAGIC_2: Byte = 0x8b.toByte()

    /** The record that [record] is kept as; [writer] is unique to this run of the process. */
    fun encode(record: JobRecord, writer: String): TopicRecord {
        val plain = JobRecordCodec.encode(record, writer)
        return TopicRecord(plain.key, plain.value?.let(::compressed))
    }

    /** What [value] under [key] says; null for a record of another build, a damaged one or one that was removed. */
    fun decode(key: String, value: ByteArray?): JobRecord? = try {
        JobRecordCodec.decode(key, value?.let(::decompressed))
    } catch (_: IOException) {
        null
    }

    /** Bodies are Base64, so compression makes a large job a third smaller, or better. */
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
