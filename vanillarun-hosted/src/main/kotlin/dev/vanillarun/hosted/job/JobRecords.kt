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
    private const val PACKED_FROM = 100_000

    /** First bytes of the gzip format; text in JSON begins otherwise. */
    private const val GZIP_FIRST: Byte = 0x1f
    private const val GZIP_SECOND: Byte = 0x8b.toByte()

    /** The record that [record] is kept as; [writer] is unique to this run of the process. */
    fun encode(record: JobRecord, writer: String): TopicRecord {
        val plain = JobRecordCodec.encode(record, writer)
        return TopicRecord(plain.key, plain.value?.let(::packed))
    }

    /** What [value] under [key] says; null for a record of another build, a damaged one or one that was removed. */
    fun decode(key: String, value: ByteArray?): JobRecord? = try {
        JobRecordCodec.decode(key, value?.let(::unpacked))
    } catch (_: IOException) {
        null
    }

    /** Bodies are Base64, so compression makes a large job a third smaller, or better. */
    private fun packed(text: ByteArray): ByteArray {
        if (text.size < PACKED_FROM) return text
        val out = ByteArrayOutputStream()
        GZIPOutputStream(out).use { it.write(text) }
        return out.toByteArray()
    }

    private fun unpacked(value: ByteArray): ByteArray {
        val isPacked = value.size > 1 && value[0] == GZIP_FIRST && value[1] == GZIP_SECOND
        return if (isPacked) GZIPInputStream(value.inputStream()).use { it.readBytes() } else value
    }
}
