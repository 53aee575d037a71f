package dev.vanillarun.core.order

import dev.vanillarun.core.id.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What decides when the engines of one model load its newest weights. */
public data class LoadTiming(
    /** Newest version. */
    public val newest: Long,
    /** How long ago it was named. */
    public val namedFor: Duration,
    /** Version of each engine. */
    public val versions: Map<TargetId, Long>,
    /** Steps of the model. */
    public val steps: List<ModelStep>,
)

/** A step of a trainer, as far as it matters for loads. */
public data class ModelStep(
    /** Oldest version that may generate its samples. */
    public val minVersion: Long,
    /** True while samples of it are generated. */
    public val open: Boolean,
)

/**
 * Engines that should load the newest weights now.
 *
 * A load stops an engine for about a second. A step allows weights one version older than the newest, so engines that
 * have these serve the step undisturbed and load once it has ended, while its trainer trains. Engines that are too old
 * for a step that is open load at once. Without any step the newest weights are loaded after a while.
 */
public fun LoadTiming.dueEngines(): Set<TargetId> {
    val outdated = versions.filterValues { it < newest }
    val open = steps.filter { it.open }
    val needed = open.maxOfOrNull { it.minVersion }
    return when {
        needed != null -> outdated.filterValues { it < needed }.keys
        steps.any { it.minVersion >= newest - 1 } || namedFor >= WITHOUT_STEP -> outdated.keys
        else -> outdated.filterValues { it < newest - 1 }.keys
    }
}

/** Time after which a trainer that has named weights and asked for no step is not waited for. */
private val WITHOUT_STEP = 4.seconds
