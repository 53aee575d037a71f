package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.routing.PrefixHolders
import dev.vanillarun.core.routing.RequestProfile
import dev.vanillarun.hosted.target.TargetTracker

/**
 * Which engines have read the prompt of a group, as far as this instance has sent them samples of it. New weights or a
 * restart of an engine drop what it has read.
 *
 * Counts only where engines report the state of their machine; elsewhere samples are placed as if prompts cost nothing.
 */
internal class PromptHolders(private val tracker: TargetTracker) {
    private val holders = PrefixHolders()

    /** Records that [engine] reads the prompt of [task]. */
    fun recordRun(task: SampleTask, engine: Replica) {
        if (task.item.group.isNotEmpty()) holders.recordRequest(key(task, engine), engine.id)
    }

    /** Describes [task] for the choice among [engines]. */
    fun profile(task: SampleTask, engines: List<Replica>): RequestProfile {
        val reporting = engines.filter { tracker.of(it).load?.slowdown != null }
        if (reporting.isEmpty() || task.item.group.isEmpty()) return RequestProfile(outputTokens = task.outputTokens)
        val holding = reporting.filter { it.id in holders.of(key(task, it)) }.mapTo(HashSet()) { it.id }
        return RequestProfile(task.item.promptTokens, task.outputTokens, cachedAt = holding)
    }

    private fun key(task: SampleTask, engine: Replica): String {
        val model = task.job.model
        return listOf(model, task.item.group, tracker.weights(engine, model), engine.startedAt).joinToString("/")
    }
}
