package dev.vanillarun.standin.engine

import dev.vanillarun.standin.http.ListenSettings
import kotlin.math.pow
import kotlin.random.Random

/** How fast an engine generates. */
public data class EngineSpeed(
    /** Tokens a second of a sequence that runs alone. */
    public val tokensPerSecond: Double = 200.0,
    /** Part by which each further sequence of the batch lengthens a step. */
    public val slowdown: Double = 0.05,
) {
    /** Time of a step of [running] sequences, in nanoseconds. */
    public fun stepNanos(running: Int): Long {
        val single = NANOS_PER_SECOND / tokensPerSecond
        return (single * (1 + slowdown * (running - 1).coerceAtLeast(0))).toLong()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}

/** Uneven work: answers of heavy-tailed length, and sequences that are slow on one engine. */
public data class Unevenness(
    /** Sequences in a hundred that are slow. */
    public val stragglerPercent: Int = 0,
    /** Steps that a slow sequence takes for each token. */
    public val stragglerStride: Int = 8,
    /** Least length of an answer of Pareto-distributed length; zero means that answers have the asked length. */
    public val leastTokens: Int = 0,
    /** Seed of this engine. */
    public val seed: Long = 0,
) {
    /** Stride of the sequence of [prompt] and [requestSeed]; differs from engine to engine. */
    public fun stride(prompt: String, requestSeed: Long): Int {
        val random = Random(seed * PRIME + requestSeed + prompt.hashCode())
        return if (random.nextInt(PERCENT) < stragglerPercent) stragglerStride else 1
    }

    /** Length of the answer to [prompt] and [requestSeed]; the same on every engine. */
    public fun length(prompt: String, requestSeed: Long, maxTokens: Int): Int {
        if (leastTokens == 0) return maxTokens
        val uniform = 1 - Random(requestSeed + prompt.hashCode()).nextDouble()
        return (leastTokens * uniform.pow(-1 / PARETO_SHAPE)).toInt().coerceIn(1, maxOf(1, maxTokens))
    }

    private companion object {
        const val PERCENT = 100
        const val PARETO_SHAPE = 1.2
        const val PRIME = 1_000_003L
    }
}

/** Settings of an engine stand-in. */
public data class EngineSettings(
    /** Where it listens. */
    public val listen: ListenSettings = ListenSettings(),
    /** Name, for its answers. */
    public val name: String = "engine",
    /** Models that are loaded; a call for another gets 404. */
    public val models: List<String> = listOf("assistant"),
    /** Speed. */
    public val speed: EngineSpeed = EngineSpeed(),
    /** Bounds of the batch. */
    public val limits: BatchLimits = BatchLimits(),
    /** Uneven work. */
    public val unevenness: Unevenness = Unevenness(),
    /** Weight version at the start. */
    public val version: Long = 1,
    /** Time that a swap of weights takes, in milliseconds; generation goes on with the old ones. */
    public val swapMs: Long = 0,
    /** Address of the platform whose store weights are downloaded from, `host:port`; empty means that none are. */
    public val weights: String = "",
    /** True if orders with an old term are refused. */
    public val fenced: Boolean = false,
    /** Credential that callers must present; empty means none. */
    public val credential: String = "",
    /** Age of load reports, in milliseconds. */
    public val loadLagMs: Long = 0,
    /** Load that is reported, in percent of the true one; anything but 100 is a lie. */
    public val loadReportPercent: Int = 100,
    /** Prefixes that the cache keeps. */
    public val cachePrefixes: Int = 64,
    /** Delay of cache events, in milliseconds. */
    public val cacheEventDelayMs: Long = 0,
    /** Cache events in a hundred that are lost. */
    public val cacheEventLossPercent: Int = 0,
    /** Text of a prompt that crashes the engine; empty means none. */
    public val poison: String = "",
)
