package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.log.CrashObservation
import dev.vanillarun.core.quarantine.CrashLedger
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.quarantine.QuarantineLevel
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.target.BreakCause
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.store.ReadPace
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

/**
 * View of the crashes topic: requests during which targets ended the connection, as observed by all instances.
 *
 * A request that never completes and disconnects one target after another is refused. Its sender may retry at any
 * instance, so the observations are shared through the store.
 */
internal class CrashBoard(
    log: TopicLog,
    private val appender: DurableAppender,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) : TopicSink {
    private val ledger = AtomicReference(CrashLedger())

    /** Follows the crashes topic and feeds its records to this view. */
    val follower = TopicFollower(log, Topic, this, clock, events) { RarePace }

    /** True if requests with the content of [request] are quarantined and must not be sent to any target. */
    fun isRefused(request: LiveRequest): Boolean = request.mayBeQuarantined &&
        ledger.get().quarantineLevel(request.fingerprint, clock.now()) == QuarantineLevel.REFUSED

    /** Targets that [request] is suspected to have crashed. */
    fun crashedTargets(request: LiveRequest): Set<TargetId> =
        if (request.mayBeQuarantined) ledger.get().crashedTargets(request.fingerprint, clock.now()) else emptySet()

    /**
     * Records and shares that [request] got no complete answer of [replica] for [cause], if that looks like a crash.
     * Bytes that are no answer do not: a target that sends them runs on, and they may belong to another request.
     */
    fun attemptBroke(request: LiveRequest, replica: Replica, cause: BreakCause) {
        if (cause != BreakCause.CONNECTION_ENDED || !request.mayBeQuarantined) return
        val observation = CrashObservation(request.fingerprint.hex, replica.id)
        observe(observation)
        val value = Json.encodeToString(CrashObservation.serializer(), observation).encodeToByteArray()
        scope.launch { appender.append(TopicRecord(key = "", value)) }
        val attributes = mapOf("fingerprint" to observation.fingerprint, "target" to replica.id.value)
        events.record("request.broke_off", EventLinks(request = request.id), attributes)
    }

    /** Clears the suspicion against [request] after a target has responded to it. */
    fun completed(request: LiveRequest) {
        if (request.fingerprint !in ledger.get().suspectedCrashes) return
        ledger.updateAndGet { it.completed(request.fingerprint, clock.now()) }
    }

    override fun reset(records: List<StoredTopicRecord>) = accept(records)

    override fun accept(records: List<StoredTopicRecord>) = records.mapNotNull(::decode).forEach(::observe)

    private fun decode(record: StoredTopicRecord): CrashObservation? = try {
        record.value?.let { Json.decodeFromString(CrashObservation.serializer(), it.decodeToString()) }
    } catch (e: SerializationException) {
        events.record("crash.ignored", EventLinks(offset = record.offset), mapOf("reason" to e.message.orEmpty()))
        null
    }

    private fun observe(observation: CrashObservation) {
        ledger.updateAndGet { it.observed(Fingerprint(observation.fingerprint), observation.target, clock.now()) }
    }

    companion object {
        /** New records are rare and no decision needs to know that there is none. */
        private val RarePace = ReadPace(longPoll = 2.seconds)

        /** Topic of crash observations, without keys; its records expire. */
        val Topic = TopicName("crashes", keyed = false)
    }
}
