package dev.vanillarun.core.job

/** Queued item that waits for a target, with the values that decide its place in the queue. */
public data class WaitingItem(
    /** Job that the item belongs to. */
    public val job: JobId,
    /** The item to run. */
    public val item: JobItem,
    /** Time at which the results of the job are due, in Unix milliseconds. */
    public val dueAt: Long,
    /** Rank of the priority class of the job; 0 is served first. */
    public val priority: Int,
    /** True if events of the item were received by an earlier run, so that only the rest has to be generated. */
    public val begun: Boolean,
    /** Rank of its group within the job, see [groupRanks]. */
    public val groupRank: Int,
    /** State of its group, which decides between the groups of all jobs. */
    public val group: GroupState = GroupState.NEW,
)

/**
 * Order in which queued items are assigned to targets.
 *
 * A group counts only when it is complete and in time, so the state of the groups comes first. Among groups of equal
 * state, the job that is due first is served first. Within a job, an interrupted item precedes the items that have not
 * started, because its group has already used the most time.
 */
public val ItemOrder: Comparator<WaitingItem> = compareBy(
    { it.group },
    { it.dueAt },
    { it.priority },
    { !it.begun },
    { it.groupRank },
    { -it.item.expectedWork },
)

/**
 * Returns [waiting] in the order of assignment, given that [assigned] items were assigned before.
 *
 * Follows [ItemOrder], but one of [AGED_SHARE] places goes to the item that is due first whatever the state of its
 * group, so that late and surplus groups do not starve.
 */
public fun assignmentOrder(waiting: List<WaitingItem>, assigned: Long): List<WaitingItem> {
    val ordered = waiting.sortedWith(ItemOrder)
    if (ordered.all { it.group == ordered.first().group }) return ordered
    val first = (AGED_SHARE - 1 - assigned % AGED_SHARE).toInt()
    val places = (first until ordered.size step AGED_SHARE).toSet()
    val aged = ordered.sortedBy { it.dueAt }.take(places.size)
    val agedKeys = aged.mapTo(HashSet()) { it.job to it.item.id }
    val others = ordered.filter { (it.job to it.item.id) !in agedKeys }.iterator()
    val turns = aged.iterator()
    return ordered.indices.map { if (it in places) turns.next() else others.next() }
}

/** Of this many assigned items one is that which is due first. */
public const val AGED_SHARE: Int = 8

/** Expected work in generated tokens; the upper bound of the tokens if the submitter gave no estimate. */
internal val JobItem.expectedWork: Long get() = expectedTokens ?: tokens

/**
 * Returns the rank of each group of [job]; 0 is served first.
 *
 * Only [Job.desiredGroups] groups have to be complete, so the groups with the longest expected run time beyond that
 * number come last. The others are ranked longest first, because the step ends when its longest group ends. Groups that
 * [returned] from an earlier job are always needed and come before all others.
 */
public fun groupRanks(job: Job, returned: Set<String> = emptySet()): Map<String, Int> {
    val longest = job.items.groupBy { it.group }.mapValues { (_, items) -> items.maxOf { it.expectedWork } }
    val fresh = longest.keys.filter { it !in returned }.sortedBy { longest.getValue(it) }
    val desired = if (job.desiredGroups > 0) job.desiredGroups else longest.size
    val needed = (desired - returned.size).coerceIn(0, fresh.size)
    val ordered = longest.keys.filter { it in returned } + fresh.take(needed).reversed() + fresh.drop(needed)
    return ordered.withIndex().associate { (rank, group) -> group to rank }
}
