package dev.vanillarun.standin.lag

/** A value of which readers see what it was [lagMs] ago. Not safe for concurrent use. */
public class Lagging<T>(private val lagMs: Long, initial: T) {
    /** A value and the time from which it holds. */
    public class Version<T>(
        /** Time in milliseconds. */
        public val sinceMs: Long,
        /** The value. */
        public val value: T,
    )

    private val versions = ArrayDeque(listOf(Version(Long.MIN_VALUE, initial)))

    /** The value as it is now. */
    public val newest: Version<T> get() = versions.last()

    /** Sets the value at [nowMs]. */
    public fun put(nowMs: Long, value: T) {
        versions.addLast(Version(nowMs, value))
        seen(nowMs)
    }

    /** The value that readers see at [nowMs]. */
    public fun seen(nowMs: Long): T {
        while (versions.size > 1 && versions[1].sinceMs <= nowMs - lagMs) versions.removeFirst()
        return versions.first().value
    }
}
