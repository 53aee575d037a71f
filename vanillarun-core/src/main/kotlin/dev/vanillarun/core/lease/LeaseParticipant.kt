package dev.vanillarun.core.lease

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.LeaseClaim
import dev.vanillarun.core.log.LeaseRelease
import dev.vanillarun.core.log.LeaseRenewal
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordBody
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration

/**
 * State of one instance in the lease of one duty, as holder or challenger. Immutable.
 *
 * The holder measures its term from before it sent the record that it later read back. A challenger measures a longer
 * wait from after it read the last record of the duty. Each uses only its own monotonic clock.
 *
 * ```
 * val observed = participant.observe(view, clock.now())
 * observed.next(clock.now(), random.nextDouble())?.let { body ->
 *     val envelope = writer.envelope(body)
 *     participant = observed.sending(envelope.id, clock.now()) // before the append
 * }
 * ```
 */
public data class LeaseParticipant(
    /** Duty whose lease is held or contended for. */
    public val duty: DutyName,
    /** Identity of this instance. */
    public val self: InstanceId,
    /** Run of this instance; distinguishes its terms from those of an earlier run. */
    public val incarnation: Incarnation,
    /** Durations of the lease, the same on all instances. */
    public val timing: LeaseTiming = LeaseTiming(),
    /** State of the lease as of the last read of the log. */
    public val lease: LeaseState = LeaseState(),
    /** True once this instance stops: it no longer acts and releases its term. */
    public val stopping: Boolean = false,
    private val isFree: Boolean = false,
    private val readThrough: Offset = Offset.None,
    private val unchangedSince: Instant? = null,
    private val sendTimes: PersistentMap<RecordId, Instant> = persistentMapOf(),
    private val lastSentAt: Instant? = null,
    private val heldUntil: Instant? = null,
) {
    /**
     * Fencing token of the latest term if this instance won it and has not released it; null otherwise. The term may
     * have expired, see [mayAct].
     */
    public val term: Offset?
        get() = lease.term?.takeIf { it.holder == self && it.incarnation == incarnation && !lease.released }?.number

    /** Updates the state with [view], which was read up to the end of the log, at [now]. */
    public fun observe(view: LogView<DutyTable>, now: Instant): LeaseParticipant {
        val read = view.state.lease(duty)
        val unchanged = if (read.lastRecord == lease.lastRecord) unchangedSince ?: now else now
        val updated = copy(
            lease = read,
            isFree = view.state.isFree(duty),
            readThrough = Offset(view.next.value - 1),
            unchangedSince = unchanged,
        )
        return updated.copy(
            heldUntil = read.extendedBy?.let(sendTimes::get)?.plus(timing.term).takeIf { updated.term != null },
        )
    }

    /**
     * Records [now] as the send time of the record [id]. Must be called before the append, because the term is measured
     * from here.
     */
    public fun withSendTime(id: RecordId, now: Instant): LeaseParticipant {
        val kept =
            if (sendTimes.size < MAX_SEND_TIMES) sendTimes else sendTimes.remove(sendTimes.minBy { it.value }.key)
        return copy(sendTimes = kept.put(id, now), lastSentAt = now)
    }

    /** Returns the participant that no longer acts on the duty and releases its term. */
    public fun stop(): LeaseParticipant = copy(stopping = true, lastSentAt = null)

    /** True if an action that takes at most [needed] may be started at [now], so that it ends within the term. */
    public fun mayAct(now: Instant, needed: Duration = Duration.ZERO): Boolean =
        !stopping && heldUntil != null && now + needed <= heldUntil

    /**
     * Record to append at [now]; null if there is none. [jitter] is a random number from 0 to 1, drawn for each wait.
     */
    public fun next(now: Instant, jitter: Double): RecordBody? {
        val held = term
        return when {
            stopping -> held?.takeIf { isDue(now, timing.claimRetryInterval) }?.let { LeaseRelease(duty, it) }
            held != null -> LeaseRenewal(duty, held).takeIf { isDue(now, timing.renewalInterval) }
            mayClaim(now, jitter) -> LeaseClaim(duty, self, incarnation, observed = readThrough)
            else -> null
        }
    }

    private fun mayClaim(now: Instant, jitter: Double): Boolean {
        val since = unchangedSince ?: return false
        val wait = if (isFree) Duration.ZERO else timing.challengeDelay
        return now >= since + wait + timing.maxClaimJitter * jitter && isDue(now, timing.claimRetryInterval)
    }

    private fun isDue(now: Instant, interval: Duration): Boolean = lastSentAt == null || now >= lastSentAt + interval

    private companion object {
        const val MAX_SEND_TIMES = 16
    }
}
