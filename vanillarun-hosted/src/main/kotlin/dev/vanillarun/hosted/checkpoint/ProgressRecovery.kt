package dev.vanillarun.hosted.checkpoint

import dev.vanillarun.core.checkpoint.RunnerId
import dev.vanillarun.core.checkpoint.RunnerState
import dev.vanillarun.core.checkpoint.RunnerWatch
import dev.vanillarun.core.checkpoint.SavedText
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Finds the texts that earlier runners of a job have left, for the instance that has taken the job over.
 *
 * An item goes on after such a text only once its runner is gone: two engines must not generate one text. If that may
 * take longer to know than the text is worth, the item begins anew at once. Confined to the thread of the runner.
 */
internal class ProgressRecovery(
    private val topics: ProgressTopics,
    private val self: RunnerId,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
    private val events: EventRecorder,
) {
    private class Takeover(val since: Instant) {
        var isRead = false
        var texts: Map<ItemId, SavedText> = emptyMap()
        val runners: Set<RunnerId> get() = texts.values.flatMapTo(HashSet()) { it.runners }
    }

    private val owned = HashSet<JobId>()
    private val takeovers = HashMap<JobId, Takeover>()
    private var watch = RunnerWatch()

    /** Number of items that went on after the text of an earlier runner. */
    var recovered = 0L
        private set

    /**
     * Notes that this instance owns [job], and begins to look for texts in [scope] if it has taken the job over: jobs
     * that were submitted just now have none. [onChange] is called when more is known.
     */
    fun owned(scope: CoroutineScope, job: Job, onChange: () -> Unit) {
        if (!owned.add(job.id) || wallClock() - job.submittedAt < MIN_AGE.inWholeMilliseconds) return
        val takeover = Takeover(clock.now()).also { takeovers[job.id] = it }
        scope.launch {
            withTimeoutOrNull(READ_TIMEOUT) {
                val found = topics.texts(job.id).orEmpty()
                takeover.texts = found.mapValues { it.value.copy(runners = it.value.runners - self) }
                readBeats(takeover)
            }
            takeover.isRead = true
            onChange()
            awaitRunners(takeover, onChange)
        }
    }

    private suspend fun readBeats(takeover: Takeover) {
        val instances = takeover.runners.mapTo(HashSet()) { it.instance }
        if (instances.isNotEmpty()) topics.beats()?.let { watch = watch.observed(it, instances, clock.now()) }
    }

    /** Reads beats until it is known of all runners whether they are gone. */
    private suspend fun awaitRunners(takeover: Takeover, onChange: () -> Unit) {
        while (takeover.runners.any { state(it) == RunnerState.UNKNOWN } && clock.now() - takeover.since < MAX_WAIT) {
            delay(BEAT_READ_INTERVAL)
            readBeats(takeover)
            onChange()
        }
    }

    /** True if [item] of [job] has to wait, since a text of it may be usable soon. */
    fun holds(job: JobId, item: ItemId): Boolean {
        val takeover = takeovers[job] ?: return false
        if (!takeover.isRead) return clock.now() - takeover.since < READ_TIMEOUT
        val text = takeover.texts[item] ?: return false
        if (state(text) != RunnerState.UNKNOWN || clock.now() - takeover.since >= MAX_WAIT) return false
        return text.runners.maxOf { watch.timeUntilKnown(it, clock.now(), wallClock()) } < text.worth
    }

    /** Returns the text after which [item] of [job] may go on; null if there is none. Asked for once. */
    fun take(job: JobId, item: ItemId): SavedText? {
        val takeover = takeovers[job] ?: return null
        val text = takeover.texts[item] ?: return null
        takeover.texts -= item
        return text.takeIf { state(it) == RunnerState.GONE }
    }

    /** Records that [item] of [job] goes on after [text]. */
    fun adopted(job: JobId, item: ItemId, text: SavedText) {
        recovered++
        val attributes = mapOf(
            "runners" to text.runners.joinToString(","),
            "after_event" to "${text.transcript.lastEventNumber}",
        )
        events.record("item.recovered", EventLinks(request = job.value, sample = item.value), attributes)
    }

    /** Forgets all jobs but those with [open]. */
    fun retain(open: Set<JobId>) {
        takeovers.keys.retainAll(open)
        owned.retainAll(open)
        if (takeovers.isEmpty()) watch = RunnerWatch()
    }

    /** The state of all runners of [text] together: one that runs decides, then one that is not known. */
    private fun state(text: SavedText): RunnerState = text.runners.maxOfOrNull(::state) ?: RunnerState.GONE

    private fun state(runner: RunnerId): RunnerState =
        if (runner.instance == self.instance) RunnerState.GONE else watch.state(runner, clock.now(), wallClock())

    /** Time that the text took an engine at least. */
    private val SavedText.worth: Duration get() = EVENT_TIME * transcript.lastEventNumber.toInt()

    private companion object {
        /** Limit of the read of the texts of a job, after which its items begin anew. */
        val READ_TIMEOUT = 400.milliseconds

        /** Age from which on a job that this instance did not own before is one that it has taken over. */
        val MIN_AGE = 700.milliseconds

        /** Longest time that items wait for the end of an earlier runner. */
        val MAX_WAIT = RunnerWatch.SILENCE + 0.5.seconds
        val BEAT_READ_INTERVAL = 200.milliseconds

        /** Time that an event takes a fast engine. */
        val EVENT_TIME = 40.milliseconds
    }
}
