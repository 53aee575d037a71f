package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.overload.RoomDecision
import dev.vanillarun.core.overload.TargetRoom
import dev.vanillarun.core.overload.decideRoom
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.TargetTracker
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import dev.vanillarun.core.overload.retryAfter as timeToReturn

/** What this instance knows of the room at the targets of live calls, and what that means for a call. */
internal class LiveRoom(
    private val chooser: ReplicaChooser,
    private val tracker: TargetTracker,
    private val clock: MonotonicClock,
    private val random: Random,
) {
    /** Waits until a target may have room for [request]; false if it should be refused. */
    suspend fun awaitRoom(request: LiveRequest): Boolean {
        if (chooser.open(request).any { !roomAt(it).isFull }) return true // stops at the first, in nearly all calls
        val waitEnd = request.received + maxWait(request)
        while (true) {
            when (val decision = decideRoom(targets(request), waitEnd - clock.now(), random)) {
                RoomDecision.Send -> return true
                is RoomDecision.Wait -> delay(decision.delay)
                RoomDecision.Refuse -> return false
            }
        }
    }

    /** True if a target of [request] outside [triedIds] is known to have room, by a report or as it refused nothing. */
    fun isKnownBeyond(request: LiveRequest, triedIds: Set<TargetId>): Boolean = chooser.open(request).any {
        it.id !in triedIds && tracker.usable(it) && isKnown(it) && !roomAt(it).isFull
    }

    private fun isKnown(replica: Replica): Boolean =
        tracker.of(replica).refusals == 0 || roomAt(replica).busy?.let { it < replica.slots } == true

    /** Time after which the caller of [request] should come back. */
    fun retryAfter(request: LiveRequest): Duration {
        val usual = request.route.objective / RETRIES_IN_OBJECTIVE
        return timeToReturn(targets(request), usual, request.deadline - clock.now())
    }

    private fun maxWait(request: LiveRequest): Duration {
        val timeLeft = request.deadline - request.received
        if (request.kind == ExchangeKind.REWARD) return minOf(MAX_REWARD_WAIT, timeLeft)
        return minOf(request.route.objective, timeLeft) * WAIT_SHARE
    }

    private fun targets(request: LiveRequest): List<TargetRoom> = chooser.open(request).map(::roomAt)

    private fun roomAt(replica: Replica): TargetRoom {
        val known = tracker.of(replica)
        val now = clock.now()
        // After a failure the target may have room, and a request is the only way to find out.
        val backoff = known.avoidUntil?.takeIf { known.failures == 0 }?.let { it - now } ?: Duration.ZERO
        val reported = known.loadReportedAt
        val lifetime = known.meanLatency
        val load = known.load?.takeIf { reported != null && lifetime != null && now - reported < lifetime }
        return TargetRoom(
            slots = replica.slots.coerceAtLeast(1),
            busy = load?.let { it.running + it.waiting },
            queueLimit = known.queueLimit,
            backoffLeft = backoff.coerceAtLeast(Duration.ZERO),
            serviceTime = known.meanLatency,
        )
    }

    private companion object {
        /** Attempts that fit into the objective, so that a slot becomes free before the next one. */
        const val RETRIES_IN_OBJECTIVE = 4

        /** Fraction of the objective for which a call may wait here; most of it has to be left for the answer. */
        const val WAIT_SHARE = 0.125

        /** Rewards wait out the longest backoff after a refusal, which says nothing new about the room. */
        val MAX_REWARD_WAIT = 300.milliseconds
    }
}
