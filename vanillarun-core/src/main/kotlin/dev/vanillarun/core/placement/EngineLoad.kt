package dev.vanillarun.core.placement

import dev.vanillarun.core.id.TargetId
import kotlin.time.Duration

/** An engine as the runner of a model sees it. */
public data class EngineLoad(
    /** Engine. */
    public val id: TargetId,
    /** Requests that it runs at a time. */
    public val slots: Int,
    /** Requests of this runner there. */
    public val running: Int,
    /** Time between two events of a request, as seen lately; null while unknown. */
    public val pace: Duration?,
    /** True if the model is placed there. */
    public val placed: Boolean = true,
)

/**
 * The engine with a free slot where a request is expected to end first, or null.
 *
 * Engines of one service differ in speed by a factor of two and more, and a batch slows each of its requests only
 * slightly, so a fast engine is filled before a slow one is used. An unknown engine counts as one of median speed.
 */
public fun chooseEngine(engines: List<EngineLoad>): EngineLoad? {
    val free = engines.filter { it.running < it.slots }
    val candidates = free.filter { it.placed }.ifEmpty { free }
    val paces = engines.mapNotNull { it.pace }.sorted()
    val median = paces.getOrNull(paces.size / 2)
    return candidates.minWithOrNull(
        compareBy({ it.expectedPace(median) }, { it.running.toDouble() / it.slots }, { it.id.value }),
    )
}

/** The engine with a free slot that a run at [here] should move to because it is much faster, or null. */
public fun fasterEngine(here: EngineLoad, engines: List<EngineLoad>): EngineLoad? {
    val pace = here.pace ?: return null
    val others = engines.filter { it.id != here.id && it.placed && it.pace != null }
    val best = chooseEngine(others) ?: return null
    return best.takeIf { pace > (best.pace ?: pace) * WORTH_A_MOVE }
}

private fun EngineLoad.expectedPace(median: Duration?): Double {
    val known = pace ?: median ?: return running.toDouble() / slots
    return known.inWholeMicroseconds * (1 + CROWDING * running)
}

/** Part by which one more request in a batch slows the others: 0.0252 of 0.723 ms a step on the engines served. */
private const val CROWDING = 0.035

/**
 * Ratio of paces from which on a run is moved. Engines of one fleet differ by up to 2.7 while all is well, and a move
 * costs a connection and reading the prompt again; an engine that turns slow does so by a factor of three to four.
 */
private const val WORTH_A_MOVE = 3.0
