package dev.vanillarun.daemon.target

import io.netty.channel.Channel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Idle connections by `host:port`, reused last in, first out. */
internal class ConnectionPool(private val time: TimeSource = TimeSource.Monotonic) {
    private inner class Idle(val channel: Channel, val expiry: TimeMark, val openedIn: Int) {
        val isExpired: Boolean get() = expiry.hasPassedNow() || !channel.isActive || openedIn != generation

        fun mayCarry(id: String?): Boolean = channel.exchanges()?.mayCarry(id) ?: false
    }

    private val idle = ConcurrentHashMap<String, ArrayDeque<Idle>>()
    private val generations = AtomicInteger()

    /** Changes with [dropAll]; connections of an earlier generation are not reused. */
    val generation: Int get() = generations.get()

    /**
     * Removes and returns a usable idle connection to [address] that may carry a request with [id], or null if there is
     * none; resets expired ones.
     */
    fun take(address: String, id: String? = null): Channel? {
        var found: Channel? = null
        idle.computeIfPresent(address) { _, connections ->
            connections.removeAll { it.isExpired.also { expired -> if (expired) it.channel.reset() } }
            val usable = connections.lastOrNull { it.mayCarry(id) }
            if (usable != null) connections.remove(usable)
            found = usable?.channel
            connections.takeIf { it.isNotEmpty() }
        }
        return found
    }

    /** True if [take] would return a connection to [address] now. */
    fun has(address: String): Boolean {
        var found = false
        idle.computeIfPresent(address) { _, connections ->
            found = connections.any { !it.isExpired }
            connections
        }
        return found
    }

    /** Resets the idle connections; those in use now are not stored again. */
    fun dropAll() {
        generations.incrementAndGet()
        idle.keys.forEach { address ->
            idle.computeIfPresent(address) { _, connections ->
                connections.removeAll { it.isExpired.also { expired -> if (expired) it.channel.reset() } }
                connections.takeIf { it.isNotEmpty() }
            }
        }
    }

    /**
     * Stores [channel] for reuse; [timeout] is the idle timeout that the server announced, null if it gave none, and
     * [openedIn] the [generation] before the channel was opened or taken.
     */
    fun put(address: String, channel: Channel, timeout: Duration?, openedIn: Int = generation) {
        val keepFor = minOf(timeout?.minus(CLOSE_MARGIN) ?: DEFAULT_IDLE, MAX_IDLE)
        val usable = channel.isActive && openedIn == generation && channel.exchanges()?.isSpent == false
        if (keepFor <= Duration.ZERO || !usable) return channel.reset()
        idle.compute(address) { _, connections ->
            val all = connections ?: ArrayDeque()
            all.addLast(Idle(channel, time.markNow() + keepFor, openedIn))
            all.removeAll { it.expiry.hasPassedNow().also { expired -> if (expired) it.channel.reset() } }
            all
        }
    }

    private companion object {
        /** Safety margin before the server's idle timeout, so that a request arrives before the server closes. */
        val CLOSE_MARGIN = 500.milliseconds

        /** Idle time of a connection whose server announced no timeout. */
        val DEFAULT_IDLE = 8.seconds
        val MAX_IDLE = 60.seconds
    }
}
