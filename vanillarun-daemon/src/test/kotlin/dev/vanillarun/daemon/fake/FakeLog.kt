package dev.vanillarun.daemon.fake

import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.ConfigPublication
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** In-memory log that fails every call while [unavailable] is set. */
class FakeLog : PlatformLog {
    private val records = MutableStateFlow(emptyList<StoredRecord>())

    @Volatile
    var unavailable: Boolean = false

    val isEmpty: Boolean get() = records.value.isEmpty()

    override suspend fun append(records: List<NewRecord>): AppendResult {
        if (unavailable) return AppendResult.Refused("unavailable", 10.milliseconds)
        var first = 0
        this.records.update { old ->
            first = old.size
            old + records.mapIndexed { i, new -> StoredRecord(Offset(first + i.toLong()), new.stream, new.payload) }
        }
        return AppendResult.Appended(Offset(first.toLong()))
    }

    override suspend fun read(streams: Set<StreamName>, from: Offset, limit: Int, wait: Duration): ReadResult {
        if (unavailable) return ReadResult.Unavailable("unavailable")
        fun matches(all: List<StoredRecord>) = all.drop(from.value.toInt()).filter { it.stream in streams }
        withTimeoutOrNull(wait) { records.first { matches(it).isNotEmpty() } }
        val all = records.value
        val end = Offset(all.size.toLong())
        return ReadResult.Page(matches(all).take(limit), end, Offset.Start, end)
    }

    /** Appends a publication of [config] that is based on the last configuration record. */
    suspend fun publish(config: RolloutConfig) {
        val base = records.value.lastOrNull { it.stream == StreamName.Config }?.offset ?: Offset.None
        val id = RecordId(InstanceId("test"), Incarnation("test"), records.value.size.toLong())
        val envelope = Envelope(id, ConfigPublication(base, "test", "test", config))
        append(listOf(NewRecord(StreamName.Config, RecordCodec.encode(envelope))))
    }
}
