package dev.vanillarun.core.sample

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.time.Instant
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.plus

/** Failed attempts at one sample after which it fails permanently. */
public const val MAX_FAILED_ATTEMPTS: Int = 12

/** Starts attempts for up to [limit] waiting samples that are not in backoff. */
public fun StepState.start(limit: Int, now: Instant): StepTransition {
    val due = waiting.asSequence().filter { ordinal -> backoffUntil[ordinal]?.let { it <= now } ?: true }
    val chosen = due.take(limit.coerceAtLeast(0)).toList()
    return chosen.fold(StepTransition(this)) { transition, ordinal ->
        transition.state.startOne(ordinal, now, hedge = false).prepend(transition.start)
    }
}

/** Starts up to [limit] hedges for slow attempts, as [policy] allows; none while a sample is waiting. */
public fun StepState.hedge(policy: HedgePolicy, limit: Int, now: Instant): StepTransition {
    if (waiting.isNotEmpty()) return StepTransition(this)
    val threshold = policy.threshold(durations, spec.size) ?: return StepTransition(this)
    val allowed = minOf(limit, policy.budget(spec.size) - counters.hedged)
    val attemptsPerSample = running.keys.groupingBy(AttemptId::ordinal).eachCount()
    val slow =
        running.entries
            .filter { (attempt, run) -> now - run.startedAt > threshold && attemptsPerSample[attempt.ordinal] == 1 }
            .sortedBy { it.value.startedAt }
            .take(allowed.coerceAtLeast(0))
            .map { it.key.ordinal }
    return slow.fold(StepTransition(this)) { transition, ordinal ->
        transition.state.startOne(ordinal, now, hedge = true).prepend(transition.start)
    }
}

private fun StepTransition.prepend(earlier: List<AttemptId>): StepTransition = copy(start = earlier + start)

private fun StepState.startOne(ordinal: Int, now: Instant, hedge: Boolean): StepTransition {
    val number = (attemptCounts[ordinal] ?: 0) + 1
    val attempt = AttemptId(ordinal, number)
    val next =
        copy(
            waiting = waiting - ordinal,
            backoffUntil = backoffUntil - ordinal,
            running = running.put(attempt, RunningAttempt(startedAt = now, hedge = hedge)),
            attemptCounts = attemptCounts.put(ordinal, number),
            counters = counters.copy(started = counters.started + 1, hedged = counters.hedged + if (hedge) 1 else 0),
        )
    return StepTransition(next, start = listOf(attempt))
}

/**
 * An attempt generated [sample]. The first attempt at a sample wins and the others are cancelled; an attempt that is no
 * longer in flight changes nothing. A stale sample is discarded and generated again.
 */
public fun StepState.attemptCompleted(attempt: AttemptId, sample: Sample, now: Instant): StepTransition {
    if (attempt !in running) return StepTransition(this)
    val ordinal = attempt.ordinal
    val losers = runningAttempts(ordinal) - attempt
    val settled =
        copy(
            running = running.mutate { map -> (losers + attempt).forEach(map::remove) },
            durations = durations + runningTime(attempt, now),
            counters = counters.copy(superseded = counters.superseded + losers.size),
        )
    val next =
        when {
            ordinal in held || ordinal in ready || ordinal in failed -> settled
            stalenessBound.allows(sample, currentVersion) -> settled.copy(ready = settled.ready.put(ordinal, sample))
            else -> settled.discardStale(ordinal)
        }
    return StepTransition(next, cancel = losers)
}

private fun StepState.discardStale(ordinal: Int): StepState = copy(
    ready = ready.remove(ordinal),
    waiting = waiting + ordinal,
    counters = counters.copy(stale = counters.stale + 1),
)

/** An attempt ended without a sample. A retry starts at [retryAt] at the earliest, null for no backoff. */
public fun StepState.attemptFailed(
    attempt: AttemptId,
    failure: AttemptFailure,
    retryAt: Instant? = null,
): StepTransition {
    if (attempt !in running) return StepTransition(this)
    val ordinal = attempt.ordinal
    val stopped = copy(running = running.remove(attempt))
    val next =
        when (failure) {
            is AttemptFailure.NoCapacity -> stopped.requeue(ordinal)
            is AttemptFailure.Permanent -> stopped.countFailure(ordinal).giveUp(ordinal, failure.reason)
            is AttemptFailure.Retryable -> stopped.retry(ordinal, failure).backOff(ordinal, retryAt)
        }
    val orphans = if (ordinal in next.failed) next.runningAttempts(ordinal) else emptyList()
    return StepTransition(
        state = next.copy(running = next.running.mutate { map -> orphans.forEach(map::remove) }),
        cancel = orphans,
    )
}

private fun StepState.countFailure(ordinal: Int): StepState = copy(
    failureCounts = failureCounts.put(ordinal, (failureCounts[ordinal] ?: 0) + 1),
    counters = counters.copy(failed = counters.failed + 1),
)

private fun StepState.retry(ordinal: Int, failure: AttemptFailure.Retryable): StepState {
    val target = failure.target
    val counted = if (failure.countsAsFailure) countFailure(ordinal) else this
    val marked = if (target == null) counted else counted.avoid(ordinal, target)
    val exhausted = (marked.failureCounts[ordinal] ?: 0) >= MAX_FAILED_ATTEMPTS
    return if (exhausted) marked.giveUp(ordinal, failure.reason) else marked.requeue(ordinal)
}

private fun StepState.backOff(ordinal: Int, until: Instant?): StepState =
    if (until == null || ordinal !in waiting) this else copy(backoffUntil = backoffUntil.put(ordinal, until))

private fun StepState.avoid(ordinal: Int, target: TargetId): StepState =
    copy(avoided = avoided.put(ordinal, (avoided[ordinal] ?: emptyTargets()) + target))

private fun StepState.requeue(ordinal: Int): StepState = if (runningAttempts(ordinal).isEmpty() && ordinal !in ready &&
    ordinal !in held
) {
    copy(waiting = waiting + ordinal)
} else {
    this
}

private fun StepState.giveUp(ordinal: Int, reason: String): StepState =
    copy(failed = failed.put(ordinal, reason), waiting = waiting - ordinal)

/** The trainer or the weight store has reached [version]. Ready samples that became stale are generated again. */
public fun StepState.versionAdvanced(version: WeightVersion): StepState {
    if (version <= currentVersion) return this
    val advanced = copy(currentVersion = version)
    val stale = ready.filterValues { !advanced.stalenessBound.allows(it, version) }.keys
    return stale.fold(advanced) { state, ordinal -> state.discardStale(ordinal) }
}

/**
 * A trainer that holds exactly [confirmed] and has reached [version] pulls up to [limit] samples.
 *
 * The cursor is authoritative: a sample that it lacks and that this instance no longer keeps is generated again.
 */
public fun StepState.pull(confirmed: HeldSamples, version: WeightVersion, limit: Int): PullTransition {
    val fresh = confirm(confirmed).versionAdvanced(version)
    val chosen = fresh.ready.entries.sortedBy { it.key }.take(limit)
    val after = confirmed.with(chosen.map { it.key })
    val remaining = spec.size - after.count - fresh.failed.size
    val delivery =
        Delivery(
            samples = chosen.map { it.value },
            held = after,
            failed = fresh.failedSamples(),
            remaining = remaining,
        )
    return PullTransition(fresh, delivery)
}

private fun StepState.failedSamples(): List<Pair<SampleId, String>> {
    if (failed.isEmpty()) return emptyList()
    val ids = spec.sampleIds()
    return failed.map { (ordinal, reason) -> ids[ordinal] to reason }
}

private fun StepState.confirm(confirmed: HeldSamples): StepState {
    val confirmedReady = ready.keys.filter { it in confirmed }
    val redundant = waiting.filter { it in confirmed }
    val lost =
        confirmed.missing().filter {
            it in held && it !in ready && it !in waiting && it !in failed && runningAttempts(it).isEmpty()
        }
    return copy(
        held = confirmed,
        ready = ready.mutate { map -> confirmedReady.forEach(map::remove) },
        waiting = waiting - redundant.toSet() + lost,
    )
}

/** The step's deadline passed: samples that are waiting or running fail permanently. */
public fun StepState.expire(): StepTransition {
    val open = waiting + running.keys.map(AttemptId::ordinal)
    val reasons = open.associateWith { "the step's deadline passed" }
    return StepTransition(
        state = copy(waiting = waiting.clear(), running = running.clear(), failed = failed.putAll(reasons)),
        cancel = running.keys.toList(),
    )
}
