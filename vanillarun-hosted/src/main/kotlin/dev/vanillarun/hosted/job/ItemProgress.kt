package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.time.Instant
import kotlin.time.Duration.Companion.milliseconds

/** What is known of an item between its runs; kept beyond its job, since its group may return in a later one. */
internal data class ItemProgress(
    /** Events received without a gap. */
    val transcript: Transcript = Transcript(),
    /** True if the text is whole. */
    val complete: Boolean = false,
    /** Runs at which an engine failed. */
    val failures: Int = 0,
    /** Before this moment the item is not sent again. */
    val notBefore: Instant? = null,
    /** Times that it was moved away from a slow engine. */
    val moves: Int = 0,
    /** Runs in a row that broke off without a further event. */
    val runsWithoutProgress: Int = 0,
) {
    /** What of it counts for [task]: a text goes on only if all its versions are allowed there. */
    fun validFor(task: SampleTask): ItemProgress {
        val allowed = transcript.versions.all { it >= task.job.minVersion }
        return if (allowed) this else ItemProgress(failures = failures, notBefore = notBefore)
    }

    /** After a run that ended with [end] at [now]. */
    fun afterRun(end: RunOutcome, now: Instant): ItemProgress = when (end) {
        is RunOutcome.Complete -> copy(transcript = end.transcript, complete = true)
        is RunOutcome.Interrupted -> interrupted(end.transcript, now)
        is RunOutcome.Incompatible -> ItemProgress(failures = failures, notBefore = now + RESUME_BACKOFF)
        RunOutcome.Failed -> copy(failures = failures + 1, notBefore = now + RESUME_BACKOFF)
        RunOutcome.Unprocessable -> this
        is RunOutcome.NotRun -> copy(notBefore = now + REJECTION_BACKOFF)
    }

    /** An item at which run after run breaks off may be what breaks the engines; it is tried ever more rarely. */
    private fun interrupted(received: Transcript, now: Instant): ItemProgress {
        val grown = received.lastEventNumber > transcript.lastEventNumber
        val runs = if (grown) 0 else runsWithoutProgress + 1
        val backoff = minOf(RESUME_BACKOFF * (1 shl runs.coerceAtMost(MAX_DOUBLINGS)), MAX_BACKOFF)
        return copy(transcript = received, notBefore = now + backoff, runsWithoutProgress = runs)
    }

    /** After its run was ended at [now] so that it goes on at another engine. */
    fun moved(now: Instant): ItemProgress = copy(moves = moves + 1, notBefore = now + RESUME_BACKOFF)

    private companion object {
        /** Pause before an item goes on elsewhere: the engine before has to see its connection close. */
        val RESUME_BACKOFF = 30.milliseconds

        val MAX_BACKOFF = 2000.milliseconds
        const val MAX_DOUBLINGS = 7

        /** Pause before an item that was refused is sent again. */
        val REJECTION_BACKOFF = 50.milliseconds
    }
}
