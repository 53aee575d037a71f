package dev.vanillarun.core.admission

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.time.Instant
import kotlin.time.Duration

/** A request that asks to be admitted. */
public data class Ticket<T>(
    /** What the caller of the queue wants back: the request itself. */
    public val item: T,
    /** Customer whose key came with it. */
    public val customer: CustomerId,
    /** Name of its priority class. */
    public val priority: String,
    /** Expected work, in tokens. */
    public val work: Long,
    /** When the answer must be there; null if it may take any time. */
    public val deadline: Instant? = null,
)

/** Why a request was not admitted. */
public enum class RefusalReason {
    /** No room, or the customer already holds its part of the queue. */
    QUEUE_FULL,

    /** It would not be answered before its deadline. */
    DEADLINE,
}

/** Answer of a queue to an offer. */
public sealed interface Admission {
    /** The request waits for its turn. */
    public data object Queued : Admission

    /** The request was not taken: it never ran. */
    public data class Refused(
        /** Why. */
        public val reason: RefusalReason,
        /** When an equal request is likely to be admitted. */
        public val retryAfter: Duration,
    ) : Admission
}

/** What left a queue. */
public sealed interface PollResult<T> {
    /** The ticket that left. */
    public val ticket: Ticket<T>

    /** It is its turn: run it now. */
    public data class Run<T>(override val ticket: Ticket<T>) : PollResult<T>

    /** It can no longer be answered in time: refuse it; it never ran. */
    public data class Expired<T>(
        override val ticket: Ticket<T>,
        /** When an equal request is likely to be admitted. */
        public val retryAfter: Duration,
    ) : PollResult<T>
}

/** How well a waiting request fits the targets that have room now; the better first. */
public enum class Affinity {
    /** A target with room holds its prefix. */
    CACHED,

    /** No target holds its prefix, or it has none: any target will do. */
    NEUTRAL,

    /** Only targets without room hold its prefix: it is better kept for them. */
    ELSEWHERE,
}

/**
 * Bounded queue before a route's targets. The owner polls whenever a target can take a request.
 *
 * Implementations are mutable and not safe for use from several threads: one coroutine or lock owns a queue.
 */
public interface AdmissionQueue<T> {
    /** Requests that wait. */
    public val size: Int

    /** Asks for admission of [ticket]. The answer is immediate. */
    public fun offer(ticket: Ticket<T>, now: Instant): Admission

    /**
     * The next departure, or null if nothing waits.
     *
     * Among the requests of the customer whose turn it is, one of low [affinityOf] may go before older ones, within limits
     * that each implementation sets. It lets a request go where its prompt's prefix is cached.
     *
     * If the targets with room are slow ones, [slowdown] tells how much longer the service takes there than at the
     * fastest. A customer whose own wait is shorter than that may leave its turn to others; if all do, the answer is
     * null although requests wait.
     */
    public fun poll(
        now: Instant,
        slowdown: Duration = Duration.ZERO,
        affinityOf: (T) -> Affinity = { Affinity.NEUTRAL },
    ): PollResult<T>?

    /** Takes out the waiting ticket whose item is [item], for instance when its caller went away. */
    public fun remove(item: T): Ticket<T>?

    /**
     * A request that [poll] handed out ended after [actualWork] tokens, zero if it failed: corrects the estimate and
     * teaches the rate and the time of service. Call it once for each departure that was run.
     */
    public fun complete(ticket: Ticket<T>, actualWork: Long, now: Instant)
}
