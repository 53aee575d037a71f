package dev.vanillarun.core.admission

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.time.Instant
import kotlin.time.Duration

/** A request as it is offered to an [AdmissionQueue]. */
public data class Ticket<T>(
    /** The request itself, handed back by [AdmissionQueue.poll]. */
    public val item: T,
    /** Customer whose key the request carries. */
    public val customer: CustomerId,
    /** Name of the priority class; an unconfigured name counts as the lowest class. */
    public val priority: String,
    /** Estimated work in tokens; corrected by [AdmissionQueue.complete]. */
    public val work: Long,
    /** Time by which the response must be complete; null if there is no deadline. */
    public val deadline: Instant? = null,
)

/** Reason for which a queue refuses a request. */
public enum class RefusalReason {
    /** The queue is full, or the customer already holds its share of the places. */
    QUEUE_FULL,

    /** The response is not expected before the deadline. */
    DEADLINE,
}

/** Result of [AdmissionQueue.offer]. */
public sealed interface Admission {
    /** The request was queued; a later [AdmissionQueue.poll] returns it unless it is removed first. */
    public data object Queued : Admission

    /** The request was not queued and never ran. */
    public data class Refused(
        /** Reason of the refusal. */
        public val reason: RefusalReason,
        /** When an equal request is likely to be admitted. */
        public val retryAfter: Duration,
    ) : Admission
}

/** Result of [AdmissionQueue.poll]. */
public sealed interface PollResult<T> {
    /** The ticket that was removed from the queue. */
    public val ticket: Ticket<T>

    /** The request is next: run it now and report its end with [AdmissionQueue.complete]. */
    public data class Run<T>(override val ticket: Ticket<T>) : PollResult<T>

    /** The request can no longer finish before its deadline and never ran: refuse it. */
    public data class Expired<T>(
        override val ticket: Ticket<T>,
        /** When an equal request is likely to be admitted. */
        public val retryAfter: Duration,
    ) : PollResult<T>
}

/** How well a queued request fits the targets that have a free slot now, best first. */
public enum class Affinity {
    /** A target with a free slot has the prefix of the prompt in its cache. */
    CACHED,

    /** No target has the prefix cached, or the request has none: all targets are equally good. */
    NEUTRAL,

    /** Only targets without a free slot have the prefix cached: the request should wait for one of them. */
    ELSEWHERE,
}

/**
 * Bounded queue in front of a route's targets. The owner polls it whenever a target has a free slot.
 *
 * Implementations are mutable and not thread-safe: one coroutine owns a queue, or a lock guards it.
 */
public interface AdmissionQueue<T> {
    /** Number of queued requests. */
    public val size: Int

    /** Queues [ticket] or refuses it; never suspends or blocks. */
    public fun offer(ticket: Ticket<T>, now: Instant): Admission

    /**
     * Removes and returns the next request, or returns null if there is none to serve now.
     *
     * Among the requests of the customer that is next, one with a better [affinityOf] may be served before older ones,
     * within limits that each implementation sets. This routes requests to targets that have their prefix cached.
     *
     * [slowdown] is the extra service time at the targets with a free slot, compared with the fastest target. A
     * customer whose expected wait is shorter than [slowdown] is skipped, since it finishes earlier by waiting for a
     * fast target; if all customers are skipped, the result is null although requests are queued.
     */
    public fun poll(
        now: Instant,
        slowdown: Duration = Duration.ZERO,
        affinityOf: (T) -> Affinity = { Affinity.NEUTRAL },
    ): PollResult<T>?

    /** Removes the ticket of [item], for instance when its caller disconnects; null if it is not queued. */
    public fun remove(item: T): Ticket<T>?

    /**
     * Reports that a request returned by [poll] ended after [actualWork] tokens, zero if it failed. Corrects the work
     * charged to the customer and updates the estimates of drain rate and service time. Must be called once for each
     * [PollResult.Run].
     */
    public fun complete(ticket: Ticket<T>, actualWork: Long, now: Instant)
}
