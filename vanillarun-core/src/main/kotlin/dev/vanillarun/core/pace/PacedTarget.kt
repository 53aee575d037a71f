package dev.vanillarun.core.pace

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration

/** What limits the requests to the targets of a service. */
public data class PaceRules(
    /** Allowance of a cold target; null if the targets bear their full load at once. */
    public val allowance: ColdAllowance? = null,
    /** Time for which a target is cold after its start. */
    public val coldDuration: Duration = Duration.ZERO,
    /** True if a target that has just started or recovered is brought to its full load step by step. */
    public val slowStart: Boolean = false,
)

/** Who asks to send a request, and when. */
public data class PaceQuestion(
    /** Limits of the target's service. */
    public val rules: PaceRules,
    /** True if this instance owns the target for sure; asked only for cold targets. */
    public val isOwner: () -> Boolean,
    /** True for a status read or order, which the holder of the control duty sends. */
    public val isControl: Boolean,
    /** Time of the question. */
    public val now: Instant,
    /** True if this instance owns the target by its latest grant, even a lapsed one; asked only after a failure. */
    public val isLastOwner: () -> Boolean = { false },
)

/** Why the pace withholds a request. */
public enum class PaceCause {
    /** The target is cold and another instance owns it. */
    NOT_OWNER,

    /** The target is cold, and the share of this instance in its allowance is used up. */
    COLD,

    /** The target may have become cold unnoticed, and the share for that case is used up. */
    UNAWARE,

    /** The target has just started or recovered and has as many requests as its pace permits. */
    WARMING,
}

/** A request that the pace withholds because of [cause], at least until [until]; null if that is not known. */
public data class PaceRefusal(
    /** Why it is withheld. */
    public val cause: PaceCause,
    /** Earliest time at which it might be sent. */
    public val until: Instant?,
)

/** All that one instance knows about the pace of one target. Immutable. */
public data class PacedTarget(
    /** Start of the target's process in Unix milliseconds. */
    public val startedAt: Long,
    /** What is known of whether the target is cold. */
    public val cold: ColdState = ColdState(),
    /** Its slow start; null if it has none or has completed it. */
    public val pace: TargetPace? = null,
    /** Requests in flight, without control calls. */
    public val inFlight: Int = 0,
    private val requests: SendWindow = SendWindow(),
    private val controls: SendWindow = SendWindow(),
) {
    /** Returns why the request of [question] must not be sent now; null if it may. */
    public fun refusal(question: PaceQuestion): PaceRefusal? =
        question.rules.allowance?.let { allowanceRefusal(it, question) } ?: paceRefusal(question)

    /** Returns how many further requests like that of [question] may be sent now; [Int.MAX_VALUE] without a limit. */
    public fun room(question: PaceQuestion): Int {
        if (refusal(question) != null) return 0
        val window = if (question.isControl) controls else requests
        val allowed = question.rules.allowance?.share(cold.isCold(question.now), question.isControl)
            ?.minus(window.used(question.now))
        val paced = pace?.takeIf { question.rules.slowStart && !question.isControl && !it.ended }
            ?.let { it.limit - inFlight }
        return minOf(allowed ?: Int.MAX_VALUE, paced ?: Int.MAX_VALUE)
    }

    private fun allowanceRefusal(allowance: ColdAllowance, question: PaceQuestion): PaceRefusal? {
        val isCold = cold.isCold(question.now)
        val window = if (question.isControl) controls else requests
        val limit = allowance.share(isCold, question.isControl)
        return when {
            isCold && !question.isControl && !mayProbe(question) ->
                PaceRefusal(PaceCause.NOT_OWNER, cold.coldUntil.takeIf { cold.failedAt == null })

            window.used(question.now) >= limit ->
                PaceRefusal(if (isCold) PaceCause.COLD else PaceCause.UNAWARE, window.opensAt(limit))

            else -> null
        }
    }

    /** True for the owner; while the store is away, one request of the last one shows whether the target is back. */
    private fun mayProbe(question: PaceQuestion): Boolean = question.isOwner() ||
        (!cold.isKnownCold(question.now) && inFlight == 0 && question.isLastOwner())

    private fun paceRefusal(question: PaceQuestion): PaceRefusal? {
        val current = pace?.takeIf { question.rules.slowStart && !question.isControl } ?: return null
        val isAllowed = current.allows(inFlight, question.now)
        return if (isAllowed) null else PaceRefusal(PaceCause.WARMING, current.heldUntil)
    }

    /** Counts a request that was permitted at [now]. */
    public fun permitted(isControl: Boolean, now: Instant): PacedTarget = if (isControl) {
        copy(controls = controls.permitted(now))
    } else {
        copy(requests = requests.permitted(now), inFlight = inFlight + 1)
    }

    /** Records that a permitted request was sent by [now]. */
    public fun confirmed(isControl: Boolean, now: Instant): PacedTarget =
        if (isControl) copy(controls = controls.confirmed(now)) else copy(requests = requests.confirmed(now))

    /** Records that a permitted request was not sent and will not be. */
    public fun withdrawn(isControl: Boolean): PacedTarget = if (isControl) {
        copy(controls = controls.withdrawn())
    } else {
        copy(requests = requests.withdrawn()).ended(isControl = false)
    }

    /** Ends a permitted request; it still counts in its window. */
    public fun ended(isControl: Boolean): PacedTarget = if (isControl) this else copy(inFlight = maxOf(0, inFlight - 1))

    /** Replaces the slow start, which ends once it reaches the slots. */
    public fun paced(next: TargetPace?): PacedTarget = copy(pace = next?.takeUnless { it.ended })

    /** This target after a restart: what was sent still counts, all else is unknown. */
    public fun restarted(startedAt: Long): PacedTarget = copy(startedAt = startedAt, cold = ColdState(), pace = null)
}
