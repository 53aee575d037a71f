package dev.vanillarun.standin.platform

/** Token bucket that allows [perSecond] calls and a burst of a tenth of that; zero means no limit. */
public class RateLimit(private val perSecond: Double) {
    private val burst = maxOf(1.0, perSecond / BURST_PART)
    private var level = burst
    private var lastNanos: Long? = null

    /** True if a call at [nowNanos] is allowed. */
    @Synchronized
    public fun allow(nowNanos: Long): Boolean {
        if (perSecond <= 0.0) return true
        val passed = nowNanos - (lastNanos ?: nowNanos)
        lastNanos = nowNanos
        level = minOf(burst, level + passed * perSecond / NANOS_PER_SECOND)
        if (level < 1.0) return false
        level -= 1.0
        return true
    }

    private companion object {
        const val BURST_PART = 10.0
        const val NANOS_PER_SECOND = 1e9
    }
}
