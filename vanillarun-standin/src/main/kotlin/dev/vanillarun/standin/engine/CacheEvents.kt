package dev.vanillarun.standin.engine

import kotlinx.serialization.Serializable
import kotlin.random.Random

/** An event of the prefix cache. */
@Serializable
public data class CacheEvent(
    /** Number, counted up also over lost events. */
    public val seq: Long,
    /** `stored` or `evicted`. */
    public val kind: String,
    /** Prefix. */
    public val prefix: String,
)

/** Events of the prefix cache that come out late and with gaps. Not safe for concurrent use. */
public class CacheEvents(private val delayMs: Long, private val lossPercent: Int, seed: Long) {
    private class Held(val event: CacheEvent, val visibleMs: Long)

    private val random = Random(seed)
    private val held = ArrayDeque<Held>()
    private var next = 0L

    /** Adds [change], seen at [nowMs]; it may be lost. */
    public fun add(change: CacheChange, nowMs: Long) {
        val seq = next++
        if (random.nextInt(PERCENT) < lossPercent) return
        held.addLast(Held(CacheEvent(seq, change.kind, change.prefix), nowMs + delayMs))
        if (held.size > KEPT) held.removeFirst()
    }

    /** Events from number [from] on that are visible at [nowMs]. */
    public fun visible(from: Long, nowMs: Long): List<CacheEvent> =
        held.filter { it.event.seq >= from && it.visibleMs <= nowMs }.map { it.event }

    private companion object {
        const val PERCENT = 100
        const val KEPT = 4_096
    }
}
