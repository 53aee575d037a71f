package dev.vanillarun.core.health

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** What one instance learned about a target from one exchange, probe or peer. */
public sealed interface HealthSignal {
    /** A whole, successful answer. */
    public data object Success : HealthSignal

    /** The target answered over a working connection that it failed: this speaks against the target itself. */
    public data object ErrorAnswer : HealthSignal

    /** No connection, or one that broke or went silent: this may as well be the observer's own link. */
    public data object LinkFailure : HealthSignal

    /** A peer could not reach the target, either. */
    public data object PeerConfirmedFailure : HealthSignal

    /** A peer reaches the target. */
    public data object PeerReachedTarget : HealthSignal
}

/** Thresholds of suspicion and ejection. */
public data class HealthRules(
    /** Error answers in a row that suffice for ejection. */
    public val errorAnswers: Int = 5,
    /** Link failures in a row after which this instance avoids the target and asks a peer. */
    public val linkFailures: Int = 3,
    /** Time of a first ejection; it doubles with each further one. */
    public val firstEjection: Duration = 5.seconds,
    /** Longest ejection. */
    public val longestEjection: Duration = 5.minutes,
)

/** Standing of a target in the eyes of one instance. */
public enum class Standing {
    /** Nothing speaks against it. */
    HEALTHY,

    /** This instance does not reach it. It routes around the target, but tells nobody that the target is at fault. */
    UNREACHABLE_HERE,

    /** At fault by more than one kind of evidence, or by answers of its own. */
    SUSPECT,
}

/**
 * Health of one target as one instance sees it. Immutable: each signal gives the next value.
 *
 * A cut link of this instance alone leads to [Standing.UNREACHABLE_HERE] and never to [Standing.SUSPECT]: that takes a
 * peer's word, or error answers that came over a working connection.
 */
public data class TargetHealth(
    /** Error answers since the last success. */
    public val errorAnswers: Int = 0,
    /** Link failures since the last success. */
    public val linkFailures: Int = 0,
    /** True once a peer confirmed that it cannot reach the target. */
    public val confirmed: Boolean = false,
    /** Ejections since the target was last healthy for long. */
    public val ejections: Int = 0,
    /** End of the present ejection. */
    public val ejectedUntil: Instant? = null,
    /** Rules. */
    public val rules: HealthRules = HealthRules(),
) {
    /** Standing by the evidence so far. */
    public val standing: Standing get() =
        when {
            errorAnswers >= rules.errorAnswers -> Standing.SUSPECT
            linkFailures < rules.linkFailures -> Standing.HEALTHY
            confirmed || errorAnswers > 0 -> Standing.SUSPECT
            else -> Standing.UNREACHABLE_HERE
        }

    /** True if a peer should be asked whether it reaches the target. */
    public val needsConfirmation: Boolean get() = standing == Standing.UNREACHABLE_HERE

    /** True while this instance routes around the target, unless that leaves too few. */
    public fun isEjected(now: Instant): Boolean = ejectedUntil != null && now < ejectedUntil

    /** Strength of the evidence; the greater goes first when not all can be ejected. */
    public val evidence: Int get() = errorAnswers + linkFailures + if (confirmed) rules.linkFailures else 0

    /** Takes in [signal] at [now]. */
    public fun after(signal: HealthSignal, now: Instant): TargetHealth = when (signal) {
        HealthSignal.Success -> recovered(now)
        HealthSignal.ErrorAnswer -> copy(errorAnswers = errorAnswers + 1, linkFailures = 0).judged(now)
        HealthSignal.LinkFailure -> copy(linkFailures = linkFailures + 1).judged(now)
        HealthSignal.PeerConfirmedFailure -> if (linkFailures == 0) this else copy(confirmed = true).judged(now)
        HealthSignal.PeerReachedTarget -> copy(confirmed = false)
    }

    private fun recovered(now: Instant): TargetHealth {
        val fresh = TargetHealth(ejections = ejections, rules = rules)
        return if (ejectedUntil == null || now < ejectedUntil + rules.longestEjection) {
            fresh.copy(ejectedUntil = ejectedUntil?.let { minOf(it, now) })
        } else {
            fresh.copy(ejections = 0)
        }
    }

    private fun judged(now: Instant): TargetHealth {
        if (standing == Standing.HEALTHY || isEjected(now)) return this
        val doublings = ejections.coerceAtMost(MAX_DOUBLINGS)
        val time = (rules.firstEjection * (1 shl doublings)).coerceAtMost(rules.longestEjection)
        return copy(ejections = ejections + 1, ejectedUntil = now + time)
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
