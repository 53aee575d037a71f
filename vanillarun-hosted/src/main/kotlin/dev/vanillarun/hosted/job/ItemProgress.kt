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
    val fruitless: Int = 0,
) {
    /** What of it counts for [task]: a text goes on only if all its versions are allowed there. */
    fun fittingFor(task: SampleTask): ItemProgress {
        val allowed = transcript.versions.all { it >= task.job.minVersion }
        return if (allowed) this else ItemProgress(failures = failures, notBefore = notBefore)
    }

    /** After a run that ended with [end] at [now]. */
    fun after(end: RunEnd, now: Instant): ItemProgress = when (end) {
        is RunEnd.Complete -> copy(transcript = end.transcript, complete = true)
        is RunEnd.Interrupted -> interrupted(end.transcript, now)
        is RunEnd.Unfit -> ItemProgress(failures = failures, notBefore = now + RESUME_PAUSE)
        RunEnd.Failed -> copy(failures = failures + 1, notBefore = now + RESUME_PAUSE)
        RunEnd.Impossible -> this
        is RunEnd.NotRun -> copy(notBefore = now + REFUSED_PAUSE)
    }

    /** An item at which run after run breaks off may be what breaks the engines; it is tried ever more rarely. */
    private fun interrupted(received: Transcript, now: Instant): ItemProgress {
        val grown = received.lastEventNumber > transcript.lastEventNumber
        val runs = if (grown) 0 else fruitless + 1
        val pause = minOf(RESUME_PAUSE * (1 shl runs.coerceAtMost(MAX_DOUBLINGS)), LONGEST_PAUSE)
        return copy(transcript = received, notBefore = now + pause, fruitless = runs)
    }

    /** After its run was ended at [now] so that it goes on at another engine. */
    fun moved(now: Instant): ItemProgress = copy(moves = moves + 1, notBefore = now + RESUME_PAUSE)

    private companion object {
        /** Pause before an item goes on elsewhere: the engine before has to see its connection close. */
        val RESUME_PAUSE = 30.milliseconds

        val LONGEST_PAUSE = 2000.milliseconds
        const val MAX_DOUBLINGS = 7

        /** Pause before an item that was refused is sent again. */
        val REFUSED_PAUSE = 50.milliseconds
    }
}
