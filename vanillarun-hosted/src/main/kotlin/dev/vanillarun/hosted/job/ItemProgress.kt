package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.time.Instant
import kotlin.time.Duration.Companion.milliseconds

/** Progress of an item across its runs. It outlives the job, since a later job may submit the same group again. */
internal data class ItemProgress(
    /** Events received so far, without gaps. */
    val transcript: Transcript = Transcript(),
    /** True once the stream has ended and the text is complete. */
    val complete: Boolean = false,
    /** Number of runs in which an engine reported a failure. */
    val failures: Int = 0,
    /** Earliest time of the next run; null if it may start at once. */
    val notBefore: Instant? = null,
    /** Number of moves away from a slow engine. */
    val moves: Int = 0,
    /** Consecutive interrupted runs that added no event. */
    val runsWithoutProgress: Int = 0,
    /** Time since which the item has been at no engine, as far as this instance knows; null before it was first due. */
    val idleSince: Instant? = null,
) {
    /** Drops the transcript if one of its weight versions is below the minimum that [task] allows. */
    fun validFor(task: SampleTask): ItemProgress {
        val allowed = transcript.versions.all { it >= task.job.minVersion }
        return if (allowed) this else restarted()
    }

    /** Returns the progress after a run that ended with [end] at [now]. */
    fun afterRun(end: RunOutcome, now: Instant): ItemProgress = when (end) {
        is RunOutcome.Complete -> copy(transcript = end.transcript, complete = true, idleSince = now)
        is RunOutcome.Interrupted -> interrupted(end.transcript, now).copy(idleSince = now)
        is RunOutcome.Incompatible -> restarted().copy(notBefore = now + RESUME_BACKOFF, idleSince = now)
        is RunOutcome.Overflowed -> interrupted(Transcript(), now).copy(idleSince = now)
        RunOutcome.Failed -> copy(failures = failures + 1, notBefore = now + RESUME_BACKOFF, idleSince = now)
        RunOutcome.Unprocessable -> copy(idleSince = now)
        is RunOutcome.NotRun -> copy(notBefore = now + REJECTION_BACKOFF)
    }

    private fun restarted() = ItemProgress(failures = failures, notBefore = notBefore, idleSince = idleSince)

    /** Doubles the backoff for each run without progress, since most engines may be failing. */
    private fun interrupted(received: Transcript, now: Instant): ItemProgress {
        val hasProgressed = received.lastEventNumber > transcript.lastEventNumber
        val runs = if (hasProgressed) 0 else runsWithoutProgress + 1
        val backoff = minOf(RESUME_BACKOFF * (1 shl runs.coerceAtMost(MAX_DOUBLINGS)), MAX_BACKOFF)
        return copy(transcript = received, notBefore = now + backoff, runsWithoutProgress = runs)
    }

    /** Returns the progress after the run was cancelled at [now] to resume at another engine. */
    fun moved(now: Instant): ItemProgress = copy(moves = moves + 1, notBefore = now + RESUME_BACKOFF, idleSince = now)

    private companion object {
        /** Delay before an item resumes elsewhere, so that the previous engine sees its connection close. */
        val RESUME_BACKOFF = 30.milliseconds

        /** Maximum delay, so that an item is at an engine soon after the engines have recovered. */
        val MAX_BACKOFF = 1000.milliseconds
        const val MAX_DOUBLINGS = 6

        /** Delay before an item is sent again after an engine rejected it. */
        val REJECTION_BACKOFF = 50.milliseconds
    }
}
