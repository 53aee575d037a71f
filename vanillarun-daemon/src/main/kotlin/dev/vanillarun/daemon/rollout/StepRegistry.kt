package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.sample.StepKey
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import java.util.concurrent.ConcurrentHashMap

/** Actors of the steps that this instance runs, by key. Thread-safe. */
public class StepRegistry(private val scope: CoroutineScope) {
    private class Entry(val actor: StepActor, val job: Job)

    private val entries = ConcurrentHashMap<StepKey, Entry>()

    /** Snapshot of the keys of the running steps. */
    public val keys: Set<StepKey> get() = entries.keys.toSet()

    /** The running actor of [key], or null. */
    public operator fun get(key: StepKey): StepActor? = entries[key]?.actor

    /** The running actor of [key]; calls [create] and launches its result if there is none. */
    public fun getOrStart(key: StepKey, create: () -> StepActor): StepActor = entries.computeIfAbsent(key) {
        val actor = create()
        val job = actor.launchIn(scope)
        job.invokeOnCompletion { entries.computeIfPresent(key) { _, entry -> entry.takeIf { it.job != job } } }
        Entry(actor, job)
    }.actor

    /** Stops the actor of [key] and waits until its attempts are cancelled; no effect if none runs. */
    public suspend fun stop(key: StepKey) {
        entries.remove(key)?.job?.cancelAndJoin()
    }
}
