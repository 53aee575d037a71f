package dev.vanillarun.hosted.job

import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.hosted.live.LiveForwarder

/** Registers the metrics of reward calls and of retries under a shortage of room at plain services. */
internal fun DaemonMetrics.registerRoom(rewards: RewardCaller, live: LiveForwarder) {
    gauge("vanillarun_reward_calls_waiting", "Reward calls that wait for the window.", "route") { rewards.waiting }
    gauge("vanillarun_reward_window", "Maximum number of reward calls in flight.", "route") { rewards.windows }
    val repeats = "Repeats of reward calls that the budget of repeats did not cover, which wait longer."
    counter("vanillarun_reward_repeats_withheld_total", repeats, "route") { rewards.repeatsWithheld }
    val withheld = "Refused requests that got no further target because the budget of retries was spent."
    counter("vanillarun_retries_withheld_total", withheld, "kind") { live.retriesWithheld }
}

/** Registers the metrics of the texts that [runner] keeps. */
internal fun DaemonMetrics.registerTexts(runner: JobRunner) {
    val bytes = "Estimated memory of the texts of items."
    gauge("vanillarun_item_text_bytes", bytes) { runner.textBytes.toDouble() }
    val dropped = "Texts of items that were dropped: too long, beyond their end, or without memory for them."
    counter("vanillarun_item_texts_dropped_total", dropped, "kind") { mapOf("item" to runner.droppedTexts) }
}
