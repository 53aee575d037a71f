package dev.vanillarun.core.reward

import dev.vanillarun.core.time.Instant

/** Group of samples that counts only when all of its items are listed. Mutable; confined to the owner of the queue. */
public class RewardGroup(
    /** Time until which the group is worth most; null if it has none. */
    public val dueAt: Instant? = null,
    /** Number of items without a recorded result. */
    public var openItems: Int = 1,
) {
    /** True if the group can no longer be complete in time. */
    public fun isLate(now: Instant): Boolean = dueAt != null && now >= dueAt
}
