package dev.vanillarun.core.job

import kotlin.time.Duration

/** State of a group with regard to a shortage of engines; the first one is served first. */
public enum class GroupState {
    /** Some of its items have run, and all can be done in time. */
    BEGUN,

    /** No item has run; all can be done in time. */
    NEW,

    /** Its job is complete without it. */
    SURPLUS,

    /** It cannot be complete in time. */
    LATE,
}

/** How far a group of a job has come. */
public data class GroupProgress(
    /** Name of the group within its job. */
    public val group: String,
    /** Rank of the group, see [groupRanks]. */
    public val rank: Int,
    /** True if an item of the group has run, or runs. */
    public val isBegun: Boolean,
    /** Shortest time in which its open items can be done, were they all assigned now; zero if none waits. */
    public val left: Duration,
)

/**
 * Returns the state of each of the [groups] of a job of which [desired] are needed, 0 for all, at [now] and with
 * results due at [dueAt], both in Unix milliseconds. A surplus group takes the place of one that is late.
 */
public fun groupStates(groups: List<GroupProgress>, desired: Int, now: Long, dueAt: Long): Map<String, GroupState> {
    var needed = if (desired > 0) desired else groups.size
    return groups.sortedBy { it.rank }.associate { progress ->
        val state = when {
            now + progress.left.inWholeMilliseconds >= dueAt -> GroupState.LATE
            needed <= 0 -> GroupState.SURPLUS
            progress.isBegun -> GroupState.BEGUN
            else -> GroupState.NEW
        }
        if (state < GroupState.SURPLUS) needed--
        progress.group to state
    }
}

/** Learns from completed runs how long the rest of an item takes at least. Immutable. */
public data class RunTime(private val perToken: Duration? = null) {
    /** Estimate after a run of the whole [item] took [elapsed]. */
    public fun observed(item: JobItem, elapsed: Duration): RunTime {
        val latest = elapsed / item.expectedWork.coerceAtLeast(1).toDouble()
        return RunTime(if (perToken == null) latest else perToken + (latest - perToken) * WEIGHT)
    }

    /** Shortest time that [item] may take; zero before the first run. */
    public fun shortest(item: JobItem): Duration =
        (perToken ?: Duration.ZERO) * item.expectedWork.toDouble() / FASTEST_ENGINE

    private companion object {
        /** Weight of a run in the average. */
        const val WEIGHT = 0.1

        /** Speed of the fastest engine of a service relative to the average. */
        const val FASTEST_ENGINE = 2.0
    }
}
