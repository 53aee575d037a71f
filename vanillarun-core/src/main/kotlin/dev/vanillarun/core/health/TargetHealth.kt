package dev.vanillarun.core.health

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Evidence on the health of a target from one exchange, probe or peer. */
public sealed interface HealthSignal {
    /** A complete, successful response. */
    public data object Success : HealthSignal

    /** The target returned an error over a working connection: evidence against the target itself. */
    public data object ErrorResponse : HealthSignal

    /** Connecting failed, or the connection broke or went silent: the cause may be the observer's own link. */
    public data object LinkFailure : HealthSignal

    /** A peer cannot reach the target either. */
    public data object PeerConfirmedFailure : HealthSignal

    /** A peer can reach the target, so the fault is likely to be in this instance's link. */
    public data object PeerReachedTarget : HealthSignal
}

/** Thresholds for the [Standing] of a target, and ejection times. */
public data class HealthThresholds(
    /** Error responses without a success in between that make a target suspect. */
    public val errorResponses: Int = 5,
    /** Consecutive link failures after which this instance ejects the target and asks a peer. */
    public val linkFailures: Int = 3,
    /** Duration of the first ejection; it doubles with each further one. */
    public val initialEjectionTime: Duration = 5.seconds,
    /** Longest ejection. A success that comes this long after the last ejection ended resets the doubling. */
    public val maxEjectionTime: Duration = 5.minutes,
)

/** Judgement of one instance on a target. */
public enum class Standing {
    /** The evidence is below all thresholds. */
    HEALTHY,

    /** This instance cannot reach the target: it routes around it but does not report it to peers as faulty. */
    UNREACHABLE_HERE,

    /** Faulty by error responses alone, or by link failures and either an error response or a peer's confirmation. */
    SUSPECT,
}

/**
 * Health of one target as one instance observes it. Immutable: each signal gives the next value.
 *
 * A broken link of this instance alone leads to [Standing.UNREACHABLE_HERE] and never to [Standing.SUSPECT]: that takes
 * the confirmation of a peer, or error responses over a working connection.
 */
public data class TargetHealth(
    /** Error responses since the last success. */
    public val errorResponses: Int = 0,
    /** Link failures since the last success or error response. */
    public val linkFailures: Int = 0,
    /** True if the latest report of a peer since the last success is that it cannot reach the target either. */
    public val confirmed: Boolean = false,
    /** Ejections so far; reset by a success long after the last one, see [HealthThresholds.maxEjectionTime]. */
    public val ejections: Int = 0,
    /** End of the latest ejection, possibly in the past; null if there was none recently. */
    public val ejectedUntil: Instant? = null,
    /** Thresholds and ejection times. */
    public val thresholds: HealthThresholds = HealthThresholds(),
) {
    /** Judgement that follows from the evidence so far. */
    public val standing: Standing get() =
        when {
            errorResponses >= thresholds.errorResponses -> Standing.SUSPECT
            linkFailures < thresholds.linkFailures -> Standing.HEALTHY
            confirmed || errorResponses > 0 -> Standing.SUSPECT
            else -> Standing.UNREACHABLE_HERE
        }

    /** True if a peer should be asked whether it can reach the target. */
    public val needsConfirmation: Boolean get() = standing == Standing.UNREACHABLE_HERE

    /** True while this instance routes around the target, unless [EjectionCap] keeps it in use. */
    public fun isEjected(now: Instant): Boolean = ejectedUntil != null && now < ejectedUntil

    /** Weight of the evidence against the target; [EjectionCap] ejects those with the greatest first. */
    public val evidence: Int get() = errorResponses + linkFailures + if (confirmed) thresholds.linkFailures else 0

    /** Health after [signal] at [now]. */
    public fun after(signal: HealthSignal, now: Instant): TargetHealth = when (signal) {
        HealthSignal.Success -> afterSuccess(now)
        HealthSignal.ErrorResponse -> copy(errorResponses = errorResponses + 1, linkFailures = 0).withEjection(now)
        HealthSignal.LinkFailure -> copy(linkFailures = linkFailures + 1).withEjection(now)
        HealthSignal.PeerConfirmedFailure -> if (linkFailures == 0) this else copy(confirmed = true).withEjection(now)
        HealthSignal.PeerReachedTarget -> copy(confirmed = false)
    }

    private fun afterSuccess(now: Instant): TargetHealth {
        val reset = TargetHealth(ejections = ejections, thresholds = thresholds)
        return if (ejectedUntil == null || now < ejectedUntil + thresholds.maxEjectionTime) {
            reset.copy(ejectedUntil = ejectedUntil?.let { minOf(it, now) })
        } else {
            reset.copy(ejections = 0)
        }
    }

    private fun withEjection(now: Instant): TargetHealth {
        if (standing == Standing.HEALTHY || isEjected(now)) return this
        val doublings = ejections.coerceAtMost(MAX_DOUBLINGS)
        val time = (thresholds.initialEjectionTime * (1 shl doublings)).coerceAtMost(thresholds.maxEjectionTime)
        return copy(ejections = ejections + 1, ejectedUntil = now + time)
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
