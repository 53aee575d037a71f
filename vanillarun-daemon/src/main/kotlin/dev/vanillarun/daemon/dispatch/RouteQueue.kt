package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.admission.Admission
import dev.vanillarun.core.admission.AdmissionQueue
import dev.vanillarun.core.admission.Affinity
import dev.vanillarun.core.admission.PollResult
import dev.vanillarun.core.admission.RefusalReason
import dev.vanillarun.core.admission.Ticket
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.routing.PrefixHolders
import dev.vanillarun.core.routing.RequestProfile
import dev.vanillarun.core.routing.RouteRoom
import dev.vanillarun.core.routing.RouteShare
import dev.vanillarun.core.routing.affinity
import dev.vanillarun.core.routing.slowdown
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlinx.coroutines.CompletableDeferred
import kotlin.time.Duration

/** Whether a request may be sent now. */
public sealed interface QueueResult {
    /** It may; [ticket] has to be given back by [RouteQueue.finish]. */
    public data class Granted(
        /** Place in the queue that was held. */
        public val ticket: Ticket<Waiter>,
    ) : QueueResult

    /** It may not and never ran. */
    public data class Refused(
        /** Why. */
        public val reason: RefusalReason,
        /** When coming back helps. */
        public val retryAfter: Duration,
    ) : QueueResult
}

/** A request that waits in a queue; [profile] says what is known of it. */
public class Waiter internal constructor(internal val profile: RequestProfile) {
    internal val turn = CompletableDeferred<QueueResult>()
}

/** What a request brings to its queue. */
public data class QueuedRequest(
    /** Customer whose key came with it. */
    public val customer: CustomerId,
    /** Name of its priority class. */
    public val priority: String,
    /** What is known of its work. */
    public val profile: RequestProfile,
    /** When the answer must be there. */
    public val deadline: Instant,
)

/**
 * Holds requests of one route back while all of its targets are full, as far as they are this instance's to fill.
 *
 * The lock guards the queue, which is pure and fast; waiting happens outside.
 */
public class RouteQueue(
    private val route: RouteName,
    private val queue: AdmissionQueue<Waiter>,
    private val pool: TargetPool,
    private val prefixes: PrefixHolders,
    private val clock: MonotonicClock,
    private val onArrival: () -> Unit = {},
) {
    private val lock = Any()

    /** Part of the route's targets that this instance may fill. */
    @Volatile
    public var share: RouteShare = RouteShare.Whole
        internal set

    /** Turns that were granted and not given back. */
    private var granted = 0

    /** Mean work of the requests that were answered, in tokens. */
    private var meanWork = 1.0

    /** Turns that were granted and whose request is not in progress at a target yet. */
    private var unplaced = 0

    /** Requests that wait. */
    public val waiting: Int get() = synchronized(lock) { queue.size }

    /** True if no request waits or runs, and none did lately. */
    public val isIdle: Boolean get() = demand < LEAST_DEMAND && synchronized(lock) { queue.size == 0 && granted == 0 }

    /** Requests that wait or run, averaged over the last samples that were taken. */
    @Volatile
    public var demand: Double = 0.0
        private set

    /** Waits for the turn of [request]. */
    public suspend fun await(request: QueuedRequest): QueueResult {
        val waiter = Waiter(request.profile)
        val work = request.profile.work
        val ticket = Ticket(waiter, request.customer, request.priority, work, request.deadline)
        val refused = synchronized(lock) {
            val admission = queue.offer(ticket, clock.now())
            if (admission is Admission.Queued) release()
            admission as? Admission.Refused
        }
        if (refused != null) return QueueResult.Refused(refused.reason, refused.retryAfter)
        onArrival()
        var delivered = false
        try {
            return waiter.turn.await().also { delivered = true }
        } finally {
            if (!delivered) abandon(waiter)
        }
    }

    /** The request of a granted turn was sent or given up. */
    public fun placed() {
        synchronized(lock) { unplaced-- }
    }

    /** A granted request ended after [actualWork] tokens. */
    public fun finish(ticket: Ticket<Waiter>, actualWork: Long) {
        synchronized(lock) {
            granted--
            if (actualWork > 0) meanWork += MEAN_GAIN * (actualWork - meanWork)
            queue.complete(ticket, actualWork, clock.now())
            release()
        }
    }

    /** Grants what can be granted now; called when time passed or targets changed. */
    public fun poll() {
        synchronized(lock) { release() }
    }

    /** Takes a sample of the demand; called at regular intervals. */
    internal fun sampleDemand() {
        val present = synchronized(lock) { queue.size + granted }
        demand += DEMAND_GAIN * (present - demand)
    }

    private fun abandon(waiter: Waiter) {
        synchronized(lock) {
            val waited = queue.remove(waiter) != null
            val hasTurn = waiter.turn.isCompleted && waiter.turn.getCompleted() is QueueResult.Granted
            if (!waited && hasTurn) {
                unplaced--
                granted--
                release()
            }
        }
    }

    private fun release() {
        if (queue.size == 0) return
        val now = clock.now()
        val views = pool.views(route)
        if (views.all { it.leaving }) return releaseAll(now)
        var room = RouteRoom.of(views, now, share).reserve(unplaced)
        val typical = RequestProfile(outputTokens = meanWork.toLong())
        while (room.total > 0) {
            val open = room.open
            val departure = queue.poll(now, views.slowdown(open, typical)) { it.affinity(open) } ?: return
            if (handOut(departure)) room = room.reserve(1)
        }
    }

    /** Without a target nothing is worth waiting for: whoever asks for one is told so. */
    private fun releaseAll(now: Instant) {
        while (true) handOut(queue.poll(now) ?: return)
    }

    /** True if a turn was granted. */
    private fun handOut(departure: PollResult<Waiter>): Boolean = when (departure) {
        is PollResult.Expired -> {
            departure.ticket.item.turn.complete(QueueResult.Refused(RefusalReason.DEADLINE, departure.retryAfter))
            false
        }

        is PollResult.Run -> {
            unplaced++
            granted++
            departure.ticket.item.turn.complete(QueueResult.Granted(departure.ticket))
            true
        }
    }

    private fun Waiter.affinity(open: Set<TargetId>): Affinity {
        val prefix = profile.prefix ?: return Affinity.NEUTRAL
        return profile.copy(cachedAt = prefixes.of(prefix)).affinity(open)
    }

    private companion object {
        /** Weight of an answer in the mean work. */
        const val MEAN_GAIN = 0.05

        /** Demand below which a queue counts as idle. */
        const val LEAST_DEMAND = 0.5

        /** Weight of a sample in the demand. */
        const val DEMAND_GAIN = 0.2
    }
}
