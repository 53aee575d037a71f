package dev.vanillarun.core.routing

import dev.vanillarun.core.time.Instant
import kotlin.math.exp
import kotlin.math.max
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Statistics of one instance about one target. Immutable: each event function returns the updated statistics.
 *
 * ```kotlin
 * val busy = TargetStats().started(work = 200)
 * val idle = busy.completed(work = 200, elapsed = 2.seconds, depthAtStart = 0, concurrency = 4)
 * idle.secondsPerToken // 0.01
 * ```
 */
public data class TargetStats(
    /** Number of requests of this instance in flight on the target. */
    public val inFlight: Int = 0,
    /** Total expected work of the in-flight requests, in tokens. */
    public val outstandingWork: Long = 0,
    /** Learned time per token of work on the unloaded target, in seconds; zero while unknown. */
    public val secondsPerToken: Double = 0.0,
    /** Number of completions since the target was added or returned. */
    public val completions: Int = 0,
    /** Newest load report; null if none has arrived since the target was added or returned. */
    public val report: LoadReport? = null,
    /** Number of requests of other instances in flight on the target at the time of [report]. */
    public val othersAtReport: Int = 0,
    /** Time of the latest observation in [secondsPerToken]; null if it is not known, the speed then does not age. */
    public val observedAt: Instant? = null,
) {
    /** Records that a request of [work] tokens was sent. */
    public fun started(work: Long): TargetStats =
        copy(inFlight = inFlight + 1, outstandingWork = outstandingWork + work)

    /**
     * Records that a request with an expected work of [work] tokens and an actual work of [actualWork] completed in
     * [elapsed], and updates the learned speed. [depthAtStart] is the estimate of [depth] when it was sent.
     */
    public fun completed(
        work: Long,
        elapsed: Duration,
        depthAtStart: Double,
        concurrency: Int,
        actualWork: Long = work,
    ): TargetStats {
        val crowding = max(1.0, (depthAtStart + 1) / concurrency.coerceAtLeast(1))
        val sample = elapsed.toDouble(DurationUnit.SECONDS) / (max(1L, actualWork) * crowding)
        val next = if (secondsPerToken == 0.0) sample else secondsPerToken + SAMPLE_WEIGHT * (sample - secondsPerToken)
        return released(work).copy(secondsPerToken = next, completions = completions + 1)
    }

    /** Records that a request of [work] tokens ended without a response from which the speed can be learned. */
    public fun released(work: Long): TargetStats =
        copy(inFlight = max(0, inFlight - 1), outstandingWork = max(0L, outstandingWork - work))

    /** Records the load report [next]; ignored if it is older than the current [report]. */
    public fun reported(next: LoadReport): TargetStats = if (report != null && next.takenAt < report.takenAt) {
        this
    } else {
        copy(report = next, othersAtReport = max(0, next.total - inFlight))
    }

    /** Records that the target returned after an absence or ejection: resets the warm-up and drops the load report. */
    public fun returned(): TargetStats = copy(completions = 0, report = null, othersAtReport = 0)

    /**
     * Estimates the number of requests in flight on the target at [now]. Requests of this instance are counted exactly.
     * Those of other instances decay with the age of the report, and are capped at a multiple of [concurrency].
     */
    public fun depth(now: Instant, concurrency: Int): Double = inFlight + others(now, concurrency)

    private fun others(now: Instant, concurrency: Int): Double {
        val known = report ?: return 0.0
        val age = (now - known.takenAt).coerceAtLeast(Duration.ZERO)
        val decay = exp(-(age / REPORT_DECAY_TIME))
        return minOf(othersAtReport, concurrency * MAX_CROWDING) * decay
    }

    private companion object {
        /** Weight of a new sample in the moving average of the speed. */
        const val SAMPLE_WEIGHT = 0.1

        /** Cap on the reported requests of other instances, as a multiple of the target's concurrency. */
        const val MAX_CROWDING = 4

        /** Age at which the weight of a report has decayed to 1/e. */
        val REPORT_DECAY_TIME = 5.seconds
    }
}
