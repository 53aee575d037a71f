package dev.vanillarun.standin.engine

import dev.vanillarun.standin.lag.Lagging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import kotlin.time.Duration.Companion.nanoseconds

/** Load of an engine at a moment. */
public data class EngineLoad(
    /** Running sequences. */
    public val running: Int = 0,
    /** Waiting sequences. */
    public val waiting: Int = 0,
    /** Prefixes in the cache. */
    public val kvUsed: Int = 0,
    /** Time of the measurement, in milliseconds. */
    public val atMs: Long = 0,
)

/** The engine's batch in real time: makes a step whenever it is due and hands out the tokens. */
public class GenerationLoop(
    private val settings: EngineSettings,
    scope: CoroutineScope,
    private val nowNanos: () -> Long = System::nanoTime,
) {
    private val lock = Any()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val generations = HashMap<Long, Generation>()
    private val cache = PrefixCache(settings.cachePrefixes)
    private val events =
        CacheEvents(settings.cacheEventDelayMs, settings.cacheEventLossPercent, settings.unevenness.seed)
    private val load = Lagging(settings.loadLagMs, EngineLoad(atMs = nowMs()))
    private var batch = Batch()
    private var nextId = 0L

    /** Weight version that generates the next token. */
    @Volatile
    public var version: Long = settings.version

    init {
        scope.launch { run() }
    }

    /** Begins a generation. */
    public fun submit(prompt: Prompt): Generation = synchronized(lock) {
        val length = settings.unevenness.length(prompt.text, prompt.seed, prompt.maxTokens)
        val generation = Generation(nextId++, prompt, if (length < prompt.maxTokens) "stop" else "length")
        val left = (length - prompt.resumed).coerceAtLeast(0)
        if (left == 0) {
            generation.finish()
        } else {
            generations[generation.id] = generation
            batch = batch.submit(sequence(generation, left))
            measure(force = true)
            wake.trySend(Unit)
        }
        generation
    }

    /** Ends [generation] if it has not ended. */
    public fun cancel(generation: Generation): Unit = synchronized(lock) {
        if (generations.remove(generation.id) == null) return@synchronized
        batch = batch.cancel(generation.id)
        generation.cancelled()
        measure(force = true)
    }

    /** Load, as old as the settings make it. */
    public fun reportedLoad(): EngineLoad = synchronized(lock) {
        measure(force = false)
        load.seen(nowMs())
    }

    /** Cache events from number [from] on. */
    public fun cacheEvents(from: Long): List<CacheEvent> = synchronized(lock) { events.visible(from, nowMs()) }

    /** The prompt kept under [prefix]. */
    public fun exportPrefix(prefix: String): String? = synchronized(lock) { cache.export(prefix) }

    /** Keeps [prompt] as if it had been read in. */
    public fun importPrefix(prompt: String): Unit = synchronized(lock) { keep(prompt) }

    private fun sequence(generation: Generation, left: Int): Sequence {
        val prompt = generation.prompt
        val unread = prompt.text.length - cache.cachedChars(prompt.text)
        keep(prompt.text)
        return Sequence(
            id = generation.id,
            priority = prompt.priority,
            prefillLeft = (unread + prompt.resumed * CHARS_PER_TOKEN) / CHARS_PER_TOKEN,
            left = left,
            stride = settings.unevenness.stride(prompt.text, prompt.seed),
        )
    }

    private fun keep(prompt: String) {
        cache.store(prompt).forEach { events.add(it, nowMs()) }
    }

    private suspend fun CoroutineScope.run() {
        var due = nowNanos()
        while (isActive) {
            if (synchronized(lock) { batch.idle }) {
                wake.receive()
                due = nowNanos()
            }
            due = maxOf(due, nowNanos() - MAX_BEHIND_NANOS) + step()
            val ahead = due - nowNanos()
            if (ahead >= MIN_SLEEP_NANOS) delay(ahead.nanoseconds) else yield()
        }
    }

    private fun step(): Long = synchronized(lock) {
        val step = batch.step(settings.limits)
        val running = batch.running.size.coerceAtLeast(step.produced.size)
        batch = step.batch
        val generatedBy = version
        step.produced.forEach { generations.getValue(it).produce(generatedBy) }
        step.finished.forEach { generations.remove(it)?.finish() }
        measure(force = false)
        settings.speed.stepNanos(running)
    }

    private fun measure(force: Boolean) {
        val now = nowMs()
        if (!force && now - load.newest.sinceMs < MEASURE_MILLIS && load.newest.sinceMs != Long.MIN_VALUE) return
        load.put(now, EngineLoad(batch.running.size, batch.waiting.size, cache.size, now))
    }

    private fun nowMs(): Long = nowNanos() / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MAX_BEHIND_NANOS = 50 * NANOS_PER_MILLI
        const val MIN_SLEEP_NANOS = NANOS_PER_MILLI
        const val MEASURE_MILLIS = 20L
        const val CHARS_PER_TOKEN = 4
    }
}
