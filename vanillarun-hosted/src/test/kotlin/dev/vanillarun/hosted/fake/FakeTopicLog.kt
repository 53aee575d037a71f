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
import dev.vanillarun.core.store.TopicSnapshotResult
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CopyOnWriteArraySet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Outcome of an append to a [FakeTopicLog]. */
enum class AppendOutcome {
    /** Appended and confirmed. */
    DONE,

    /** Not appended, and the writer receives a refusal. */
    REFUSED,

    /** Appended, but the response is lost. */
    RESPONSE_LOST,

    /** Not appended, and the writer receives no response. */
    REQUEST_LOST,
}

/** In-memory store with topics, deduplication by producer sequence, expiry and outages. */
class FakeTopicLog(override val slotCount: Int = 12) : TopicLog {
    private val topics = HashMap<TopicName, MutableList<StoredTopicRecord>>()
    private val firstRetained = HashMap<TopicName, Long>()
    private val sequences = HashMap<String, Long>()

    /** Outcomes of the next appends, in order; once used up, all appends succeed. */
    val outcomes = ArrayDeque<AppendOutcome>()

    /** Number of the next appends that are confirmed and then lost, as after a rewind of the store's history. */
    var appendsToForget = 0

    /** Size of a value above which the store rejects an append; writers do not know it. */
    var maxValueBytes = Int.MAX_VALUE

    /** False simulates an outage: appends are in doubt, reads and group calls fail. */
    @Volatile
    var up = true

    /** Slots granted to every member. */
    var slots: Set<Int> = (0 until slotCount).toSet()

    /** Number of append calls, including those that failed. */
    var appends = 0
        private set

    @Synchronized
    fun all(topic: TopicName): List<StoredTopicRecord> = topics[topic].orEmpty().toList()

    /** Appends [record] as another writer would, also during an outage. */
    @Synchronized
    fun put(topic: TopicName, record: TopicRecord) = write(topic, listOf(record), identity = null)

    /** Expires records before [offset]; [newest] still returns the newest record of each key. */
    @Synchronized
    fun expire(topic: TopicName, offset: Long) {
        firstRetained[topic] = offset
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
        if (records.any { (it.value?.size ?: 0) > maxValueBytes }) return appendTooLarge()
        val outcome = outcomes.removeFirstOrNull() ?: AppendOutcome.DONE
        val isForgotten = outcome == AppendOutcome.DONE && appendsToForget > 0
        if (isForgotten) appendsToForget--
        val written = if (isForgotten) emptyList() else records
        if (outcome == AppendOutcome.DONE || outcome == AppendOutcome.RESPONSE_LOST) write(topic, written, identity)
        return when (outcome) {
            AppendOutcome.DONE -> TopicAppendResult.Done
            AppendOutcome.REFUSED -> TopicAppendResult.Refused("busy")
            AppendOutcome.RESPONSE_LOST, AppendOutcome.REQUEST_LOST -> TopicAppendResult.InDoubt("no answer")
        }
    }

    /** An append with a value that is too large never has an effect; its response may be lost as any other. */
    private fun appendTooLarge(): TopicAppendResult = when (outcomes.removeFirstOrNull()) {
        AppendOutcome.RESPONSE_LOST, AppendOutcome.REQUEST_LOST -> TopicAppendResult.InDoubt("no answer")
        else -> TopicAppendResult.Rejected("too large")
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

    override suspend fun read(topic: TopicName, from: Offset, wait: Duration, silence: Duration): TopicReadResult {
        if (!up) return TopicReadResult.Unavailable("down")
        withTimeoutOrNull(wait) { while (up && all(topic).size <= from.value) delay(2.milliseconds) }
        if (!up) return TopicReadResult.Unavailable("down")
        val kept = firstRetained[topic] ?: 0
        if (from.value < kept) return TopicReadResult.Expired(Offset(kept))
        val list = all(topic)
        return TopicReadResult.Page(
            list.drop(from.value.toInt()),
            Offset(list.size.toLong()),
            Offset(list.size.toLong()),
        )
    }

    /** Number of records of a page of a snapshot. */
    var snapshotPageRecords = Int.MAX_VALUE

    /** Holds the answers to reads of a snapshot until it completes; null to answer at once. */
    @Volatile
    var snapshotGate: CompletableDeferred<Unit>? = null

    /** Keys after which pages of a snapshot were asked for, in order; null for a first page. */
    val snapshotReads = CopyOnWriteArrayList<String?>()

    override suspend fun newest(topic: TopicName, after: String?, silence: Duration): TopicSnapshotResult {
        snapshotReads += after
        snapshotGate?.await()
        if (!up) return TopicSnapshotResult.Unavailable("down")
        val list = all(topic)
        val newest = list.associateBy { it.key }.values.filter { it.value != null && it.key > after.orEmpty() }
        val page = newest.sortedBy { it.key }.take(snapshotPageRecords)
        val last = page.lastOrNull()?.key?.takeIf { page.size < newest.size }
        return TopicSnapshotResult.Page(page, Offset(list.size.toLong()), last)
    }

    /** Members of the only group that this store has. */
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
