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

/** Result of waiting in a [RouteQueue]. */
public sealed interface QueueResult {
    /** The request may be sent. [RouteQueue.finish] has to be called with [ticket] when it ends. */
    public data class Granted(
        /** Identifies the request in its queue. */
        public val ticket: Ticket<Waiter>,
    ) : QueueResult

    /** The request is rejected and never ran. */
    public data class Refused(
        /** Whether the queue was full or the deadline passed. */
        public val reason: RefusalReason,
        /** Delay after which a retry can succeed. */
        public val retryAfter: Duration,
    ) : QueueResult
}

/** A queued request; [profile] holds its expected work and prefix. */
public class Waiter internal constructor(internal val profile: RequestProfile) {
    internal val result = CompletableDeferred<QueueResult>()
}

/** Properties of a request that determine its order in a queue. */
public data class QueuedRequest(
    /** Customer that the request is accounted to. */
    public val customer: CustomerId,
    /** Name of the priority class. */
    public val priority: String,
    /** Expected work and prefix. */
    public val profile: RequestProfile,
    /** When the response must be complete; the request expires in the queue if it cannot be met. */
    public val deadline: Instant,
)

/**
 * Queues requests of one route while this instance's share of the capacity of its targets is used up.
 *
 * The lock guards the queue, whose operations are fast and do not block; callers suspend outside of it.
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

    /** Share of the capacity of the route's targets that this instance may use. */
    @Volatile
    public var share: RouteShare = RouteShare.Whole
        internal set

    /** Granted requests that have not finished. */
    private var granted = 0

    /** Moving average of the work of finished requests, in tokens. */
    private var meanWork = 1.0

    /** Granted requests that are not registered at a target yet. */
    private var unplaced = 0

    /** Number of requests in the queue. */
    public val waiting: Int get() = synchronized(lock) { queue.size }

    /** True if no request is queued or in progress and the averaged demand is close to zero. */
    public val isIdle: Boolean get() = demand < IDLE_DEMAND && synchronized(lock) { queue.size == 0 && granted == 0 }

    /** Moving average of the number of requests that are queued or in progress. */
    @Volatile
    public var demand: Double = 0.0
        private set

    /** Suspends until [request] is granted or rejected. Cancellation withdraws it. */
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
            return waiter.result.await().also { delivered = true }
        } finally {
            if (!delivered) abandon(waiter)
        }
    }

    /** Records that a granted request was registered at a target or given up. */
    public fun placed() {
        synchronized(lock) { unplaced-- }
    }

    /** Ends a granted request; [actualWork] is in tokens, 0 leaves the moving average of work unchanged. */
    public fun finish(ticket: Ticket<Waiter>, actualWork: Long) {
        synchronized(lock) {
            granted--
            if (actualWork > 0) meanWork += WORK_GAIN * (actualWork - meanWork)
            queue.complete(ticket, actualWork, clock.now())
            release()
        }
    }

    /** Grants and expires what is due; called at intervals and after a change of targets. */
    public fun poll() {
        synchronized(lock) { release() }
    }

    /** Samples the demand; has to be called at regular intervals. */
    internal fun sampleDemand() {
        val present = synchronized(lock) { queue.size + granted }
        demand += DEMAND_GAIN * (present - demand)
    }

    private fun abandon(waiter: Waiter) {
        synchronized(lock) {
            val wasQueued = queue.remove(waiter) != null
            val wasGranted = waiter.result.isCompleted && waiter.result.getCompleted() is QueueResult.Granted
            if (!wasQueued && wasGranted) {
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
            val polled = queue.poll(now, views.slowdown(open, typical)) { it.affinity(open) } ?: return
            if (deliver(polled)) room = room.reserve(1)
        }
    }

    /** Without a target, waiting is pointless: all requests are granted and then fail because no target is left. */
    private fun releaseAll(now: Instant) {
        while (true) deliver(queue.poll(now) ?: return)
    }

    /** Completes the waiter; true if its request was granted. */
    private fun deliver(polled: PollResult<Waiter>): Boolean = when (polled) {
        is PollResult.Expired -> {
            polled.ticket.item.result.complete(QueueResult.Refused(RefusalReason.DEADLINE, polled.retryAfter))
            false
        }

        is PollResult.Run -> {
            unplaced++
            granted++
            polled.ticket.item.result.complete(QueueResult.Granted(polled.ticket))
            true
        }
    }

    private fun Waiter.affinity(open: Set<TargetId>): Affinity {
        val prefix = profile.prefix ?: return Affinity.NEUTRAL
        return profile.copy(cachedAt = prefixes.of(prefix)).affinity(open)
    }

    private companion object {
        /** Weight of one finished request in the moving average of work. */
        const val WORK_GAIN = 0.05

        /** Averaged demand, in requests, below which a queue counts as idle. */
        const val IDLE_DEMAND = 0.5

        /** Weight of one sample in the moving average of demand. */
        const val DEMAND_GAIN = 0.2
    }
}
