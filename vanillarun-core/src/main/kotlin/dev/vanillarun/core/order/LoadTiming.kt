package dev.vanillarun.core.order

import dev.vanillarun.core.id.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Inputs that determine when the engines of one model load its newest weights. */
public data class LoadTiming(
    /** Newest version that the trainer announced. */
    public val newest: Long,
    /** Time since the trainer announced [newest]. */
    public val sinceAnnouncement: Duration,
    /** Version that each engine of the model serves. */
    public val versions: Map<TargetId, Long>,
    /** Known steps that generate samples with the model, including ended ones. */
    public val steps: List<ModelStep>,
)

/** The part of a trainer's step that affects the timing of weight loads. */
public data class ModelStep(
    /** Oldest weight version that may generate samples of the step. */
    public val minVersion: Long,
    /** True while samples of the step are being generated. */
    public val open: Boolean,
)

/**
 * Returns the engines that should load the newest weights now.
 *
 * A load stops an engine for about a second. A step accepts weights that are one version older than the newest, so
 * engines with that version serve the step without interruption and load after it has ended, while the trainer trains.
 * Engines whose version is too old for an open step load immediately. If no step arrives, the newest weights are loaded
 * after [STEP_TIMEOUT].
 */
public fun LoadTiming.dueEngines(): Set<TargetId> {
    val outdated = versions.filterValues { it < newest }
    val open = steps.filter { it.open }
    val needed = open.maxOfOrNull { it.minVersion }
    return when {
        needed != null -> outdated.filterValues { it < needed }.keys
        steps.any { it.minVersion >= newest - 1 } || sinceAnnouncement >= STEP_TIMEOUT -> outdated.keys
        else -> outdated.filterValues { it < newest - 1 }.keys
    }
}

/** Time to wait for a step of a trainer that announced weights, before they are loaded anyway. */
private val STEP_TIMEOUT = 4.seconds
