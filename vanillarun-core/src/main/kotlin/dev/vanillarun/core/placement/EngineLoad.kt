package dev.vanillarun.core.placement

import dev.vanillarun.core.id.TargetId
import kotlin.time.Duration

/** Load and speed of an engine, as seen by the instance that runs a model's samples. */
public data class EngineLoad(
    /** Identity of the engine. */
    public val id: TargetId,
    /** Maximum number of concurrent requests. */
    public val slots: Int,
    /** Requests of this instance in flight on the engine. */
    public val running: Int,
    /** Recently observed time between two consecutive events of a request; null while unknown. */
    public val pace: Duration?,
    /** True if the placement assigns the model to this engine. */
    public val placed: Boolean = true,
)

/**
 * Returns the engine with a free slot where a request is expected to finish first, or null if no engine has one.
 *
 * Engines of one service differ in speed by a factor of two or more, and a larger batch slows each request only
 * slightly, so fast engines are filled before slow ones are used. An engine of unknown speed is assumed to have the
 * median speed. An engine that the model is not placed on is chosen only if the placed ones are full.
 */
public fun chooseEngine(engines: List<EngineLoad>): EngineLoad? {
    val free = engines.filter { it.running < it.slots }
    val candidates = free.filter { it.placed }.ifEmpty { free }
    val paces = engines.mapNotNull { it.pace }.sorted()
    val median = paces.getOrNull(paces.size / 2)
    return candidates.minWithOrNull(
        compareBy({ it.expectedInterval(median) }, { it.running.toDouble() / it.slots }, { it.id.value }),
    )
}

/** Returns a much faster engine with a free slot that a run on [current] should move to, or null if there is none. */
public fun fasterEngine(current: EngineLoad, engines: List<EngineLoad>): EngineLoad? {
    val pace = current.pace ?: return null
    val others = engines.filter { it.id != current.id && it.placed && it.pace != null }
    val best = chooseEngine(others) ?: return null
    return best.takeIf { pace > (best.pace ?: pace) * MIN_SPEEDUP_TO_MOVE }
}

private fun EngineLoad.expectedInterval(median: Duration?): Double {
    val known = pace ?: median ?: return running.toDouble() / slots
    return known.inWholeMicroseconds * (1 + SLOWDOWN_PER_REQUEST * running)
}

/** Relative slowdown of a batch by each further request: 0.0252 of 0.723 ms a step on the engines served. */
private const val SLOWDOWN_PER_REQUEST = 0.035

/**
 * Speed ratio above which a run is moved to another engine. Healthy engines of one fleet differ by up to 2.7, and a
 * move costs a connection and a second prefill of the prompt; an engine that degrades slows by a factor of 3 to 4.
 */
private const val MIN_SPEEDUP_TO_MOVE = 3.0
