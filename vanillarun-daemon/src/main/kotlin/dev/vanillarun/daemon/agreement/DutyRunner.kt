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
 * Competes for the lease of one duty: claims it when it is free or expired, renews it while held, and releases it on a
 * planned stop.
 */
public class DutyRunner(
    /** Duty that this runner claims and performs. */
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
    private val actionLock = Mutex()
    private val concurrentActions = MutableStateFlow(0)

    /** This instance's view of the lease, and the lease records that it has sent. */
    public val state: StateFlow<LeaseParticipant> = participant.asStateFlow()

    /** Claims and renews the lease until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing = coroutineScope {
        launch { recordTermEvents() }
        maintainLease()
    }

    private suspend fun recordTermEvents() {
        var held: Offset? = null
        participant.map { it.term }.distinctUntilChanged().collect { term ->
            held?.let { events.record("lease.ended", EventLinks(duty = duty.value, offset = it)) }
            term?.let { events.record("lease.acquired", EventLinks(duty = duty.value, offset = it)) }
            held = term
        }
    }

    private suspend fun CoroutineScope.maintainLease(): Nothing {
        while (true) {
            val observed = follower.state.value
            step(observed)?.let { launch { appender.append(StreamName.Duty, it) } }
            withTimeoutOrNull(tick) { follower.state.first { it.view !== observed.view } }
        }
    }

    /**
     * Runs [act] if the lease is valid for at least [needed] longer; returns null otherwise.
     *
     * The guard checks again, immediately before the bytes are sent, that the same term is held and that the lease is
     * valid for [needed] longer. Actions run one at a time. After [PlatformResult.InDoubt] this function returns only
     * once the maximum effect delay has passed.
     */
    public suspend fun <T> perform(
        needed: Duration,
        act: suspend (term: Offset, guard: SendGuard) -> PlatformResult<T>,
    ): PlatformResult<T>? = actionLock.withLock { performGuarded(needed, act) }

    /** Like [perform], for actions that may run concurrently with each other and with those of [perform]. */
    public suspend fun <T> performConcurrently(
        needed: Duration,
        act: suspend (term: Offset, guard: SendGuard) -> PlatformResult<T>,
    ): PlatformResult<T>? {
        concurrentActions.update { it + 1 }
        try {
            return performGuarded(needed, act)
        } finally {
            concurrentActions.update { it - 1 }
        }
    }

    private suspend fun <T> performGuarded(
        needed: Duration,
        act: suspend (term: Offset, guard: SendGuard) -> PlatformResult<T>,
    ): PlatformResult<T>? {
        val held = participant.value
        val term = held.term?.takeIf { held.mayAct(clock.now(), needed) } ?: return null
        val result = act(term) { participant.value.let { it.term == term && it.mayAct(clock.now(), needed) } }
        val attributes = mapOf("term" to "$term", "result" to result.eventValue())
        events.record("duty.performed", EventLinks(duty = duty.value, offset = term), attributes)
        if (result is PlatformResult.InDoubt) delay(timing.maxEffectDelay)
        return result
    }

    /**
     * Stops starting actions, waits for those in flight, and releases the lease. A claim that is in flight may still
     * win the lease afterwards; [run] then releases it, as long as it is running.
     */
    public suspend fun stop(timeout: Duration = 2.seconds) {
        participant.update { it.stop() }
        withTimeoutOrNull(timeout + timing.maxEffectDelay) {
            concurrentActions.first { it == 0 }
            actionLock.withLock { release(timeout) }
        }
    }

    private suspend fun release(timeout: Duration) {
        withTimeoutOrNull(timeout) {
            var written = false
            while (!written && participant.value.term != null) {
                val envelope = record()
                written = envelope != null && appender.append(StreamName.Duty, envelope) is AppendResult.Appended
                if (!written) delay(tick)
            }
        }
    }

    private fun step(observed: LogFollowerState<DutyTable>): Envelope? {
        if (!observed.ready) return null
        participant.update { it.observe(observed.view, clock.now()) }
        return if (participant.value.stopping && isActing) null else record()
    }

    /** True while an action, or the release of the lease after the last one, is in progress. */
    private val isActing: Boolean get() = actionLock.isLocked || concurrentActions.value > 0

    /** Returns the next lease record to append, or null; its send time is stored before the append starts. */
    private fun record(): Envelope? {
        val now = clock.now()
        val body = participant.value.next(now, random.nextDouble()) ?: return null
        val envelope = writer.envelope(body)
        participant.update { it.withSendTime(envelope.id, now) }
        return envelope
    }
}

private fun PlatformResult<*>.eventValue(): String = when (this) {
    is PlatformResult.Answered -> "answered"
    is PlatformResult.Refused -> "refused"
    is PlatformResult.InDoubt -> "in_doubt"
    is PlatformResult.Withheld -> "withheld"
}
