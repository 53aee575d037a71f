package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.lease.DutyTable
import dev.vanillarun.core.lease.LeaseParticipant
import dev.vanillarun.core.lease.LeaseTiming
import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.timeline.record
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Takes part in the lease of one duty: claims it when it is free or lapsed, renews it while held, gives it up on a
 * planned stop.
 */
public class DutyRunner(
    /** Duty whose lease is meant. */
    public val duty: DutyName,
    private val follower: LogFollower<DutyTable>,
    private val appender: LogAppender,
    private val writer: RecordWriter,
    private val timing: LeaseTiming = LeaseTiming(),
    private val clock: MonotonicClock = SystemClock,
    private val random: Random = Random.Default,
    private val tick: Duration = 250.milliseconds,
    private val events: EventRecorder = NoOpEventRecorder,
) {
    private val participant =
        MutableStateFlow(LeaseParticipant(duty, writer.writer, writer.incarnation, timing))
    private val action = Mutex()
    private val beside = MutableStateFlow(0)

    /** This instance's part in the lease. */
    public val state: StateFlow<LeaseParticipant> = participant.asStateFlow()

    /** Takes part until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing = coroutineScope {
        launch { recordTerms() }
        takePart()
    }

    private suspend fun recordTerms() {
        var held: Offset? = null
        participant.map { it.term }.distinctUntilChanged().collect { term ->
            held?.let { events.record("lease.ended", EventLinks(duty = duty.value, offset = it)) }
            term?.let { events.record("lease.acquired", EventLinks(duty = duty.value, offset = it)) }
            held = term
        }
    }

    private suspend fun CoroutineScope.takePart(): Nothing {
        while (true) {
            val followed = follower.state.value
            step(followed)?.let { launch { appender.append(StreamName.Duty, it) } }
            withTimeoutOrNull(tick) { follower.state.first { it.view !== followed.view } }
        }
    }

    /**
     * Runs [act] if the lease is held for [needed] longer; null if it is not.
     *
     * The guard tells again, at the moment the bytes leave, whether the rest of [needed] lies inside the lease. Actions
     * run one at a time.
     */
    public suspend fun <T> perform(
        needed: Duration,
        act: suspend (term: Offset, guard: SendGuard) -> PlatformResult<T>,
    ): PlatformResult<T>? = action.withLock { guarded(needed, act) }

    /** As [perform], for actions that may run beside each other and beside those of [perform]. */
    public suspend fun <T> performConcurrently(
        needed: Duration,
        act: suspend (term: Offset, guard: SendGuard) -> PlatformResult<T>,
    ): PlatformResult<T>? {
        beside.update { it + 1 }
        try {
            return guarded(needed, act)
        } finally {
            beside.update { it - 1 }
        }
    }

    private suspend fun <T> guarded(
        needed: Duration,
        act: suspend (term: Offset, guard: SendGuard) -> PlatformResult<T>,
    ): PlatformResult<T>? {
        val held = participant.value
        val term = held.term?.takeIf { held.mayAct(clock.now(), needed) } ?: return null
        val result = act(term) { participant.value.let { it.term == term && it.mayAct(clock.now(), needed) } }
        val what = mapOf("term" to "$term", "result" to result.word())
        events.record("duty.performed", EventLinks(duty = duty.value, offset = term), what)
        if (result is PlatformResult.InDoubt) delay(timing.maxEffectDelay)
        return result
    }

    /**
     * Stops acting at once, lets the actions under way end, and hands the duty over. A claim that was under way may
     * still win the duty afterwards; then it is given up for as long as [run] goes on.
     */
    public suspend fun stop(patience: Duration = 2.seconds) {
        participant.update { it.stop() }
        withTimeoutOrNull(patience + timing.maxEffectDelay) {
            beside.first { it == 0 }
            action.withLock { release(patience) }
        }
    }

    private suspend fun release(patience: Duration) {
        withTimeoutOrNull(patience) {
            var written = false
            while (!written && participant.value.term != null) {
                val envelope = record()
                written = envelope != null && appender.append(StreamName.Duty, envelope) is AppendResult.Appended
                if (!written) delay(tick)
            }
        }
    }

    private fun step(followed: LogFollowerState<DutyTable>): Envelope? {
        if (!followed.ready) return null
        participant.update { it.observe(followed.view, clock.now()) }
        return if (participant.value.stopping && isActing) null else record()
    }

    /** True while an action, or the hand-over after the last one, is under way. */
    private val isActing: Boolean get() = action.isLocked || beside.value > 0

    /** The next record to append, noted as sent before it is. */
    private fun record(): Envelope? {
        val now = clock.now()
        val body = participant.value.next(now, random.nextDouble()) ?: return null
        val envelope = writer.envelope(body)
        participant.update { it.withSendTime(envelope.id, now) }
        return envelope
    }
}

private fun PlatformResult<*>.word(): String = when (this) {
    is PlatformResult.Answered -> "answered"
    is PlatformResult.Refused -> "refused"
    is PlatformResult.InDoubt -> "in_doubt"
    is PlatformResult.Withheld -> "withheld"
}
