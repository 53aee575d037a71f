package dev.vanillarun.hosted.checkpoint

import dev.vanillarun.daemon.metrics.DaemonMetrics

/** What an instance saves of its items in progress, and what it finds of those that it takes over. */
internal class Checkpoints(val saver: ProgressSaver, val recovery: ProgressRecovery)

/** Registers the metrics of [checkpoints]. */
internal fun DaemonMetrics.registerCheckpoints(checkpoints: Checkpoints) {
    val saved = "Events of unfinished items that were saved in the store."
    counter("vanillarun_events_saved_total", saved, "kind") { mapOf("item" to checkpoints.saver.savedEvents) }
    val recovered = "Items that went on after the text of an earlier runner."
    counter("vanillarun_items_recovered_total", recovered, "kind") { mapOf("item" to checkpoints.recovery.recovered) }
}
