package dev.vanillarun.core.checkpoint

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What is known of a runner whose items another instance has taken over. */
public enum class RunnerState {
    /** Its process has ended, or is cut off from everything. */
    GONE,

    /** Not known yet. */
    UNKNOWN,

    /** It has given a sign of life since it was first looked at, so it may still run its items. */
    RUNNING,
}

/**
 * Tells from the beats of runners which of them are gone. Immutable.
 *
 * A runner is gone once its instance has started again, or once it has given no beat for [SILENCE], measured on the
 * clock of this process. Wall clocks only shorten that wait, with a margin for clocks that are set wrong.
 */
public data class RunnerWatch(private val seen: Map<String, Seen> = emptyMap()) {
    /** The [first] beat of an instance that was read here, the [latest] one, and the time of the first read. */
    public data class Seen(
        /** First beat. */
        val first: RunnerBeat?,
        /** Latest beat. */
        val latest: RunnerBeat?,
        /** Time of the first read. */
        val since: Instant,
    )

    /** Returns the watch after the beats were read [now]; those of [instances] are looked at from now on. */
    public fun observed(beats: Map<String, RunnerBeat>, instances: Set<String>, now: Instant): RunnerWatch =
        RunnerWatch(
            seen + instances.associateWith { instance ->
                val beat = beats[instance]
                seen[instance]?.copy(latest = beat ?: seen[instance]?.latest) ?: Seen(beat, beat, now)
            },
        )

    /** State of [runner] at [now], which is [wallMillis] by the wall clock. */
    public fun state(runner: RunnerId, now: Instant, wallMillis: Long): RunnerState {
        val known = seen[runner.instance] ?: return RunnerState.UNKNOWN
        val latest = known.latest
        return when {
            latest != null && latest.startedAt > runner.startedAt -> RunnerState.GONE
            latest != known.first -> RunnerState.RUNNING
            now - known.since >= SILENCE -> RunnerState.GONE
            latest != null && wallMillis - latest.at >= LONG_SILENCE.inWholeMilliseconds -> RunnerState.GONE
            else -> RunnerState.UNKNOWN
        }
    }

    /** Time after [now] until [runner] is known to be gone if it gives no beat; zero once its state is known. */
    public fun timeUntilKnown(runner: RunnerId, now: Instant, wallMillis: Long): Duration {
        if (state(runner, now, wallMillis) != RunnerState.UNKNOWN) return Duration.ZERO
        val known = seen[runner.instance] ?: return SILENCE
        val left = SILENCE - (now - known.since)
        val leftByWallClock = known.latest?.let { LONG_SILENCE - (wallMillis - it.at).milliseconds }
        return minOf(left, leftByWallClock ?: left).coerceAtLeast(Duration.ZERO)
    }

    /** Times of beats. */
    public companion object {
        /** Interval between the beats of a runner. */
        public val BEAT_INTERVAL: Duration = 500.milliseconds

        /** Time without a beat after which a runner is gone; an append takes a fraction of it while the store works. */
        public val SILENCE: Duration = 2.seconds

        /** As [SILENCE], if two wall clocks tell the time: clocks that jump differ by up to two seconds. */
        public val LONG_SILENCE: Duration = SILENCE + 2.seconds
    }
}
