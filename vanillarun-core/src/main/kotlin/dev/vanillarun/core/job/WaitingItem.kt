package dev.vanillarun.core.job

/** An item that waits for a target, with what decides its turn. */
public data class WaitingItem(
    /** Job. */
    public val job: JobId,
    /** Item. */
    public val item: JobItem,
    /** When the results of the job are due, Unix milliseconds. */
    public val dueAt: Long,
    /** Rank of the job's route, 0 first. */
    public val priority: Int,
    /** True if events of it were received already, so that little is left to do. */
    public val begun: Boolean,
    /** Place of its group in the job's order, see [groupRanks]. */
    public val groupRank: Int,
)

/**
 * Order in which waiting items get targets.
 *
 * The job that is due first goes first; within a job an item that was interrupted goes before those that have not
 * begun, because its group has used the most time already.
 */
public val ItemOrder: Comparator<WaitingItem> = compareBy(
    { it.dueAt },
    { it.priority },
    { !it.begun },
    { it.groupRank },
    { -it.item.weight },
)

/** Expected work, in generated tokens. */
internal val JobItem.weight: Long get() = expectedTokens ?: tokens

/**
 * Rank of each group of [job], 0 first.
 *
 * Only [Job.desiredGroups] have to be whole, so the groups that are expected to take longest beyond that number go
 * last. Among the others the longest go first: the step ends with its longest group. Groups that [returned] from an
 * earlier job are waited for in any case and go before all.
 */
public fun groupRanks(job: Job, returned: Set<String> = emptySet()): Map<String, Int> {
    val longest = job.items.groupBy { it.group }.mapValues { (_, items) -> items.maxOf { it.weight } }
    val fresh = longest.keys.filter { it !in returned }.sortedBy { longest.getValue(it) }
    val desired = if (job.desiredGroups > 0) job.desiredGroups else longest.size
    val needed = (desired - returned.size).coerceIn(0, fresh.size)
    val ordered = longest.keys.filter { it in returned } + fresh.take(needed).reversed() + fresh.drop(needed)
    return ordered.withIndex().associate { (rank, group) -> group to rank }
}
