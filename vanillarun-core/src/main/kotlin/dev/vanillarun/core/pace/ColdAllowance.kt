package dev.vanillarun.core.pace

import dev.vanillarun.core.catalog.ColdStart
import kotlin.math.floor

/**
 * Division of the requests that a cold target may get in a second, [bound], among those that may send to it.
 *
 * While it is cold, these are up to [MAX_OWNERS] instances that each believe to own it and up to [MAX_CONTROLLERS] that
 * each believe to hold the control duty. An instance that has not heard yet that the target is cold sends at most
 * [unaware]: two such owners and one controller stay within the bound, too.
 */
public data class ColdAllowance(
    /** Most requests that may reach the target in any second, from all instances together; not negative. */
    public val bound: Int,
) {
    /** Status reads and orders of one controller in a second while the target is cold; zero if the bound is too low. */
    public val control: Int = if (bound < MAX_OWNERS + MAX_CONTROLLERS) 0 else maxOf(1, bound / CONTROL_PART)

    /** Requests of one owner in a second while the target is cold; zero if the bound is below [MAX_OWNERS]. */
    public val owner: Int = (bound - MAX_CONTROLLERS * control) / MAX_OWNERS

    /** Status reads and orders of one controller in a second while the target is not known to be cold; at least one. */
    public val unawareControl: Int = (bound / MAX_OWNERS).coerceIn(1, MAX_STATUS_READS)

    /** Requests of one instance in a second while the target is not known to be cold; at least one. */
    public val unaware: Int = maxOf(1, (bound - unawareControl) / 2)

    /** Requests that one sender may send in a second: a controller's if [isControl], to a target that [isCold]. */
    public fun share(isCold: Boolean, isControl: Boolean): Int = when {
        isControl -> if (isCold) control else unawareControl
        else -> if (isCold) owner else unaware
    }

    /** Creates allowances. */
    public companion object {
        /** Instances that may believe to own a target at once: the owner, one that is cut off, one that was frozen. */
        public const val MAX_OWNERS: Int = 3

        /** Instances that may believe to hold the control duty at once. */
        public const val MAX_CONTROLLERS: Int = 2
        private const val CONTROL_PART = 10

        /** Status reads in a second at the usual interval during a load. */
        private const val MAX_STATUS_READS = 5

        /** Allowance of [coldStart], whose rate is multiplied with [over] before [slack] requests are added. */
        public fun of(coldStart: ColdStart, over: Double = 1.0, slack: Double = 0.0): ColdAllowance =
            ColdAllowance(floor(coldStart.requestsPerSecond * over + slack).toInt().coerceAtLeast(0))
    }
}
