package dev.vanillarun.standin.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** One generation, as the batch sees it. */
public data class Sequence(
    /** Identity; later arrivals have greater ones. */
    public val id: Long,
    /** Zero goes first. */
    public val priority: Int,
    /** Prompt tokens that are still to be read in. */
    public val prefillLeft: Int,
    /** Tokens still to be generated. */
    public val left: Int,
    /** The sequence advances only in every so-many-th step; one for all but stragglers. */
    public val stride: Int = 1,
)

/** Bounds of a batch. */
public data class BatchLimits(
    /** Sequences that run at a time. */
    public val size: Int = 16,
    /** Prompt tokens of a sequence that are read in one step. */
    public val prefillChunk: Int = 512,
)

/** Outcome of a step. */
public data class BatchStep(
    /** Batch after the step. */
    public val batch: Batch,
    /** Sequences that generated one token each. */
    public val produced: List<Long>,
    /** Sequences that generated their last token. */
    public val finished: List<Long>,
)

/** Continuous batching: sequences join and leave between steps, the waiting ones by priority and arrival. */
public data class Batch(
    /** Sequences that wait for a place, in the order in which they will get one. */
    public val waiting: PersistentList<Sequence> = persistentListOf(),
    /** Sequences that advance with each step. */
    public val running: PersistentList<Sequence> = persistentListOf(),
    /** Steps made. */
    public val steps: Long = 0,
) {
    /** True if no sequence waits or runs. */
    public val idle: Boolean get() = waiting.isEmpty() && running.isEmpty()

    /** Batch with [sequence] waiting. */
    public fun submit(sequence: Sequence): Batch {
        val at = waiting.indexOfFirst { it.priority > sequence.priority }
        return copy(waiting = if (at < 0) waiting.add(sequence) else waiting.add(at, sequence))
    }

    /** Batch without the sequence [id]. */
    public fun cancel(id: Long): Batch = copy(
        waiting = waiting.removeAll { it.id == id },
        running = running.removeAll { it.id == id },
    )

    /** Lets waiting sequences in as far as [limits] allow, then advances all running ones. */
    public fun step(limits: BatchLimits): BatchStep {
        val room = (limits.size - running.size).coerceIn(0, waiting.size)
        val joined = running.addAll(waiting.take(room))
        val produced = ArrayList<Long>(joined.size)
        val advanced = joined.map { advance(it, limits, produced) }
        val (done, going) = advanced.partition { it.left == 0 }
        val next = Batch(waiting.drop(room).toPersistentList(), going.toPersistentList(), steps + 1)
        return BatchStep(next, produced, done.map(Sequence::id))
    }

    private fun advance(sequence: Sequence, limits: BatchLimits, produced: MutableList<Long>): Sequence = when {
        (steps + sequence.id) % sequence.stride != 0L -> sequence

        sequence.prefillLeft > 0 -> {
            val rest = (sequence.prefillLeft - limits.prefillChunk).coerceAtLeast(0)
            sequence.copy(prefillLeft = rest)
        }

        else -> {
            produced.add(sequence.id)
            sequence.copy(left = sequence.left - 1)
        }
    }
}
