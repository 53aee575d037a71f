package dev.vanillarun.hosted.fake

import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.store.AppendIdentity
import dev.vanillarun.core.store.SlotGrant
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicReadResult
import dev.vanillarun.core.store.TopicRecord
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How the next append goes. */
enum class Fate {
    /** Done and answered. */
    DONE,

    /** Nothing is done, and the writer is told so. */
    REFUSED,

    /** Done, and the answer is lost. */
    ANSWER_LOST,

    /** Not done, and the answer is lost. */
    LOST,
}

/** A store in memory: topics, producers, expiry and outages. */
class FakeTopicLog(override val slotCount: Int = 12) : TopicLog {
    private val topics = HashMap<TopicName, MutableList<StoredTopicRecord>>()
    private val first = HashMap<TopicName, Long>()
    private val sequences = HashMap<String, Long>()

    /** Fates of the next appends; then all are done. */
    val fates = ArrayDeque<Fate>()

    /** False while no call is answered. */
    @Volatile
    var up = true

    /** Slots that every member is granted. */
    var slots: Set<Int> = (0 until slotCount).toSet()

    /** Appends that were tried. */
    var appends = 0
        private set

    @Synchronized
    fun all(topic: TopicName): List<StoredTopicRecord> = topics[topic].orEmpty().toList()

    /** Writes [record] as another writer does, also while no call is answered. */
    @Synchronized
    fun put(topic: TopicName, record: TopicRecord) = write(topic, listOf(record), identity = null)

    /** Drops records before [offset], but the newest of each key. */
    @Synchronized
    fun expire(topic: TopicName, offset: Long) {
        first[topic] = offset
    }

    override suspend fun append(
        topic: TopicName,
        records: List<TopicRecord>,
        identity: AppendIdentity?,
    ): TopicAppendResult {
        delay(1.milliseconds)
        return appendNow(topic, records, identity)
    }

    @Synchronized
    private fun appendNow(topic: TopicName, records: List<TopicRecord>, identity: AppendIdentity?): TopicAppendResult {
        appends++
        if (!up) return TopicAppendResult.InDoubt("down")
        val fate = fates.removeFirstOrNull() ?: Fate.DONE
        if (fate == Fate.DONE || fate == Fate.ANSWER_LOST) write(topic, records, identity)
        return when (fate) {
            Fate.DONE -> TopicAppendResult.Done
            Fate.REFUSED -> TopicAppendResult.Refused("busy")
            Fate.ANSWER_LOST, Fate.LOST -> TopicAppendResult.InDoubt("no answer")
        }
    }

    private fun write(topic: TopicName, records: List<TopicRecord>, identity: AppendIdentity?) {
        if (identity != null) {
            val last = sequences["$topic ${identity.producer}"] ?: -1
            if (identity.sequence <= last) return
            check(identity.sequence == last + 1) { "a gap in the sequence of ${identity.producer}" }
            sequences["$topic ${identity.producer}"] = identity.sequence
        }
        val list = topics.getOrPut(topic) { mutableListOf() }
        records.forEach { list += StoredTopicRecord(Offset(list.size.toLong()), it.key, it.value) }
    }

    override suspend fun read(topic: TopicName, from: Offset, wait: Duration): TopicReadResult {
        if (!up) return TopicReadResult.Unavailable("down")
        withTimeoutOrNull(wait) { while (up && all(topic).size <= from.value) delay(2.milliseconds) }
        if (!up) return TopicReadResult.Unavailable("down")
        val kept = first[topic] ?: 0
        if (from.value < kept) return TopicReadResult.Expired(Offset(kept))
        val list = all(topic)
        return TopicReadResult.Page(
            list.drop(from.value.toInt()),
            Offset(list.size.toLong()),
            Offset(list.size.toLong()),
        )
    }

    override suspend fun newest(topic: TopicName): TopicReadResult {
        if (!up) return TopicReadResult.Unavailable("down")
        val list = all(topic)
        val newest = list.associateBy { it.key }.values.filter { it.value != null }.sortedBy { it.offset }
        return TopicReadResult.Page(newest, Offset(list.size.toLong()), Offset(list.size.toLong()))
    }

    /** Members of the only group. */
    val members = CopyOnWriteArraySet<String>()

    override suspend fun join(group: String, member: String, generation: Long, ttl: Duration): SlotGrant? {
        if (!up) return null
        members += member
        return SlotGrant(generation + 1, slots)
    }

    override suspend fun leave(group: String, member: String) {
        members -= member
    }
}
