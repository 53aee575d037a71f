package dev.vanillarun.daemon.target

import io.netty.channel.Channel
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Open connections that carry no exchange, by address. The one used last is taken first. */
internal class ConnectionPool(private val time: TimeSource = TimeSource.Monotonic) {
    private class Idle(val channel: Channel, val until: TimeMark)

    private val idle = ConcurrentHashMap<String, ArrayDeque<Idle>>()

    /** A usable connection to [address], or null. */
    fun take(address: String): Channel? {
        var found: Channel? = null
        idle.computeIfPresent(address) { _, waiting ->
            while (found == null && waiting.isNotEmpty()) {
                val next = waiting.removeLast()
                if (next.until.hasPassedNow() || !next.channel.isActive) next.channel.reset() else found = next.channel
            }
            waiting.takeIf { it.isNotEmpty() }
        }
        return found
    }

    /** True if [take] would find a connection to [address] now. */
    fun has(address: String): Boolean {
        var found = false
        idle.computeIfPresent(address) { _, waiting ->
            found = waiting.any { !it.until.hasPassedNow() && it.channel.isActive }
            waiting
        }
        return found
    }

    /** Keeps [channel] for the next exchange; the other side closes it after [timeout], if it says so. */
    fun put(address: String, channel: Channel, timeout: Duration?) {
        val kept = minOf(timeout?.minus(MARGIN) ?: DEFAULT_IDLE, LONGEST_IDLE)
        if (kept <= Duration.ZERO || !channel.isActive) return channel.reset()
        idle.compute(address) { _, waiting ->
            val all = waiting ?: ArrayDeque()
            all.addLast(Idle(channel, time.markNow() + kept))
            all.removeAll { it.until.hasPassedNow().also { over -> if (over) it.channel.reset() } }
            all
        }
    }

    private companion object {
        /** Time that a request needs to arrive before the other side closes the connection. */
        val MARGIN = 500.milliseconds

        /** Time for which a connection is kept whose other side does not say how long it does. */
        val DEFAULT_IDLE = 8.seconds
        val LONGEST_IDLE = 60.seconds
    }
}
