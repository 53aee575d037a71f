package dev.vanillarun.hosted.pace

import dev.vanillarun.core.catalog.CatalogService
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.pace.ColdAllowance
import dev.vanillarun.core.pace.ColdState
import dev.vanillarun.core.pace.PaceCause
import dev.vanillarun.core.pace.PaceQuestion
import dev.vanillarun.core.pace.PaceRules
import dev.vanillarun.core.pace.PacedTarget
import dev.vanillarun.core.pace.TargetPace
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.GateRefusal
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.RequestEnd
import dev.vanillarun.hosted.target.RequestResult
import dev.vanillarun.hosted.target.ResponseHead
import dev.vanillarun.hosted.target.TargetGate
import dev.vanillarun.hosted.target.TargetListing
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Factors of the allowance of cold targets that the operator grants. */
internal data class ColdGrant(
    /** Factor of the rate that a cold target bears. */
    val over: Double = 1.0,
    /** Requests in a second beyond it. */
    val slack: Double = 0.0,
)

/**
 * Limits the requests to targets that are cold, have just started or have recovered, see [PacedTarget].
 *
 * In force for services with a cold start, and without the allowance for those whose targets report the state of their
 * machine. Other services are not limited.
 */
internal class PaceGate(
    private val service: (String) -> CatalogService?,
    private val listing: TargetListing,
    private val ownership: TargetOwnership,
    private val grant: ColdGrant,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
    private val events: EventRecorder,
    private val isReopened: (Replica) -> Boolean = { false },
) : TargetGate {
    private val targets = ConcurrentHashMap<TargetId, PacedTarget>()
    private val absentSince = ConcurrentHashMap<TargetId, Instant>()
    private val phases = ConcurrentHashMap<TargetId, PacePhase>()
    private val reporting = ConcurrentHashMap.newKeySet<String>()
    private val usual = UsualLatency()
    private val counts = PaceCause.entries.associateWith { AtomicLong() }

    @Volatile
    private var firstSeenAt: Instant? = null

    /** Requests withheld immediately before they were sent, by cause. */
    val withheldByCause: Map<String, Long> get() = counts.entries.associate {
        it.key.name.lowercase() to it.value.get()
    }

    /** Number of known targets in each phase but the usual one. */
    val targetsByPhase: Map<String, Double>
        get() = PacePhase.entries.filter { it != PacePhase.ENDED }
            .associate { phase -> phase.name.lowercase() to phases.values.count { it == phase }.toDouble() }

    /** Updates what is known of the targets from [present], all listed ones, and forgets those gone for [RETENTION]. */
    fun retain(present: Collection<Replica>) {
        val ids = present.mapTo(HashSet()) { it.id }
        val now = clock.now()
        targets.keys.filter { it !in ids }.forEach { id ->
            val since = absentSince.putIfAbsent(id, now) ?: now
            if (now - since >= RETENTION && targets[id]?.inFlight == 0) forget(id)
        }
        present.forEach { observe(it, rules(it), now) }
    }

    private fun forget(id: TargetId) {
        targets -= id
        absentSince -= id
        phases -= id
    }

    override fun refusal(replica: Replica, request: GatedRequest): GateRefusal? {
        val rules = rules(replica)
        if (!rules.isLimited) return null
        val now = clock.now()
        val refusal = observe(replica, rules, now).refusal(question(replica, request, rules, now)) ?: return null
        return GateRefusal(refusal.cause.reason, refusal.until)
    }

    override fun enter(replica: Replica, request: GatedRequest): GateRefusal? {
        val rules = rules(replica)
        if (!rules.isLimited) return null
        var refusal: GateRefusal? = null
        val now = clock.now()
        observe(replica, rules, now)
        change(replica) { target ->
            val withheld = target.refusal(question(replica, request, rules, now))
            refusal = withheld?.let { GateRefusal(it.cause.reason, it.until) }
            withheld?.let { counts.getValue(it.cause).incrementAndGet() }
            if (withheld == null) target.permitted(request.isControl, now) else target
        }
        return refusal
    }

    override fun responded(replica: Replica, request: GatedRequest, head: ResponseHead) {
        if (head.load?.slowdown != null) reporting += replica.service
        val rules = rules(replica)
        if (!rules.isLimited) return
        val now = clock.now()
        change(replica) {
            val cold = it.cold.answered(head.coldFor, rules.coldDuration, now)
            it.confirmed(request.isControl, now).copy(cold = cold)
        }
    }

    override fun ended(replica: Replica, request: GatedRequest, end: RequestEnd) {
        val rules = rules(replica)
        if (!rules.isLimited) return
        val now = clock.now()
        change(replica) { target ->
            val left = when {
                end.result == RequestResult.WITHHELD -> target.withdrawn(request.isControl)
                end.headAfter == null -> target.confirmed(request.isControl, now).ended(request.isControl)
                else -> target.ended(request.isControl)
            }
            when {
                end.result == RequestResult.FAILED -> left.afterFailure(replica, rules, now)
                request.isControl -> left
                else -> left.paced(nextPace(left.pace, replica, end, now))
            }
        }
    }

    override fun unreachable(replica: Replica) {
        val rules = rules(replica)
        if (!rules.isLimited) return
        val now = clock.now()
        change(replica) { it.afterFailure(replica, rules, now) }
    }

    private fun PacedTarget.afterFailure(replica: Replica, rules: PaceRules, now: Instant): PacedTarget {
        val next = (pace ?: TargetPace(replica.slots)).failed(now).takeIf { rules.slowStart }
        return copy(cold = cold.failed(now)).paced(next)
    }

    private fun nextPace(pace: TargetPace?, replica: Replica, end: RequestEnd, now: Instant): TargetPace? {
        val isSilent = end.headAfter == null && end.elapsed >= SILENCE
        val latency = end.headAfter ?: end.elapsed
        if (pace == null && end.result == RequestResult.ANSWERED) usual.observed(replica.service, latency)
        return when (end.result) {
            RequestResult.ANSWERED -> pace?.answered(usual.isSlow(replica.service, latency))
            RequestResult.REFUSED -> pace?.refused(now)
            RequestResult.INCONCLUSIVE -> if (isSilent) pace?.refused(now) else pace
            RequestResult.FAILED, RequestResult.WITHHELD -> pace
        }
    }

    /** Brings what is known of [replica] up to date with its announcement and the time since its start. */
    private fun observe(replica: Replica, rules: PaceRules, now: Instant): PacedTarget {
        val start = firstSeenAt ?: now.also { firstSeenAt = it }
        val observed = checkNotNull(
            targets.compute(replica.id) { id, before ->
                val isBack = absentSince.remove(id) != null
                when {
                    before == null ->
                        PacedTarget(replica.startedAt).updated(replica, rules, now - start > SETTLING_TIME, now)

                    before.startedAt < replica.startedAt ->
                        before.restarted(replica.startedAt).updated(replica, rules, isNew = true, now)

                    else -> before.updated(replica, rules, isBack && before.isSilent(now), now)
                }
            },
        )
        if (rules.isLimited) report(replica, observed.phase(rules, now))
        return observed
    }

    private fun PacedTarget.isSilent(now: Instant): Boolean = cold.answeredAt?.let { now - it > RECENT_ANSWER } ?: true

    private fun PacedTarget.updated(replica: Replica, rules: PaceRules, isNew: Boolean, now: Instant): PacedTarget {
        val next = cold.updated(replica, rules, isNew, now)
        val hasTurnedCold = rules.allowance != null && next.isCold(now) && !cold.isCold(now)
        val starts = rules.slowStart && (isNew || hasTurnedCold)
        return copy(cold = next).paced(if (starts) TargetPace(replica.slots) else pace)
    }

    private fun ColdState.updated(replica: Replica, rules: PaceRules, isNew: Boolean, now: Instant): ColdState {
        if (rules.allowance == null) return this
        val usualEnd = rules.coldDuration + ColdState.Margin
        val age = (wallClock() - replica.startedAt).milliseconds
        val isYoung = age < rules.coldDuration + ClockMargin && age > -MaxClockLead
        val announcedAt = listing.announcementAge(replica.id)?.let { now - it } ?: now
        return announced(replica.coldFor, announcedAt, rules.coldDuration, now)
            .let { if (isNew || isReopened(replica)) it.coldUntil(now + usualEnd) else it }
            .let { if (isYoung) it.coldUntil(now + minOf(rules.coldDuration + ClockMargin - age, usualEnd)) else it }
    }

    private fun report(replica: Replica, phase: PacePhase) {
        val before = phases.put(replica.id, phase) ?: PacePhase.ENDED
        if (before == phase || !isConcerned(replica)) return
        val attributes = mapOf(
            "target" to replica.id.value,
            "service" to replica.service,
            "state" to phase.name.lowercase(),
            "limit" to targets[replica.id]?.pace?.limit?.toString().orEmpty(),
        )
        events.record("target.pace", EventLinks(), attributes)
    }

    /** True if this instance sends to [replica]; the events of all instances about all targets would be too many. */
    private fun isConcerned(replica: Replica): Boolean =
        ownership.owns(replica) || targets[replica.id]?.let { it.inFlight > 0 || it.cold.answeredAt != null } ?: false

    private fun question(replica: Replica, request: GatedRequest, rules: PaceRules, now: Instant) = PaceQuestion(
        rules = rules,
        isOwner = { ownership.owns(replica) },
        isControl = request.isControl,
        now = now,
        isLastOwner = { ownership.ownsByLastGrant(replica) },
    )

    private fun rules(replica: Replica): PaceRules {
        val coldStart = service(replica.service)?.coldStart
        return PaceRules(
            allowance = coldStart?.let { ColdAllowance.of(it, grant.over, grant.slack) },
            coldDuration = coldStart?.duration ?: NoColdStart.coldDuration,
            slowStart = coldStart != null || replica.service in reporting,
        )
    }

    private fun change(replica: Replica, change: (PacedTarget) -> PacedTarget) {
        targets.computeIfPresent(replica.id) { _, before -> change(before) }
    }

    private val PaceRules.isLimited: Boolean get() = allowance != null || slowStart

    private val GatedRequest.isControl: Boolean get() = kind == ExchangeKind.STATUS || kind == ExchangeKind.ORDER

    override fun room(replica: Replica, request: GatedRequest): Int {
        val rules = rules(replica)
        val now = clock.now()
        if (!rules.isLimited) return Int.MAX_VALUE
        return observe(replica, rules, now).room(question(replica, request, rules, now))
    }

    private companion object {
        val NoColdStart = PaceRules()

        /** Time after the first target was seen in which further ones are not taken for new. */
        val SETTLING_TIME = 2.seconds

        /** A target that answered within this time was not away, even if its entry was missing. */
        val RECENT_ANSWER = 2.seconds

        /** Difference between the wall clocks of target and instance that is allowed for. */
        val ClockMargin = 1.seconds

        /** Start times further in the future come from a wrong clock and say nothing. */
        val MaxClockLead = 10.seconds

        /** Time without a response from which a request that was given up counts as timed out. */
        val SILENCE = 1.seconds
        val RETENTION = 1.minutes
    }
}

private val PaceCause.reason: String
    get() = when (this) {
        PaceCause.NOT_OWNER -> "the target is cold and served by another instance"
        PaceCause.COLD -> "the target is cold and its allowance is used up"
        PaceCause.UNAWARE -> "the target got as many requests as it bears if it is cold"
        PaceCause.WARMING -> "the target has just started or recovered"
    }
