package dev.vanillarun.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Speed that [ExpectedCompletionSelector] assumes of a target of unknown speed. */
public enum class UnknownSpeed {
    /** Median of the eligible targets of known speed. */
    ELIGIBLE_MEDIAN,

    /** Median of all candidates of known speed, also of those that are not eligible. */
    CANDIDATE_MEDIAN,

    /** Speed of the fastest candidate, so that rare requests do not draw a connection to every target in turn. */
    CANDIDATE_FASTEST,
}

/** Which of several targets with nearly equal expected times [ExpectedCompletionSelector] selects. */
public enum class TieBreak {
    /** The same target for requests with the same prefix, a random one for others. */
    PREFIX_OR_RANDOM,

    /** The target with the smallest fraction of its slots in use, then the lowest id. */
    LEAST_LOADED,
}

/**
 * Parameters of [ExpectedCompletionSelector].
 *
 * The defaults are those of the standalone daemon; [ForCalls] and [ForSamples] are those of the hosted one.
 */
public data class CompletionParameters(
    /** Assumed round-trip time to a target in another data centre. */
    public val remoteRoundTrip: Duration = 2.milliseconds,
    /** Relative distance from the best score within which targets count as equal. */
    public val tolerance: Double = 0.05,
    /** Fraction by which cost increases the score of the most expensive target; cheaper ones in proportion. */
    public val maxCostPenalty: Double = 0.02,
    /** Load per slot, as a multiple of the mean, above which a cached prefix is no longer taken into account. */
    public val maxPrefixCrowding: Double = 1.25,
    /** Factor on the time at a target without an open connection. */
    public val newConnectionFactor: Double = 1.0,
    /** Factor on the time at a target in another data centre. */
    public val remoteFactor: Double = 1.0,
    /** Relative increase of the time at a target with all slots in use; in proportion at lower load. */
    public val loadPenalty: Double = 0.0,
    /** Relative increase of the time by each other request at the target. */
    public val batchSlowdown: Double = 0.0,
    /** Maximum random relative increase of a score, so that instances with equal information choose differently. */
    public val jitter: Double = 0.0,
    /** Number of completions after which the warm-up of a target ends; zero for none. */
    public val warmUpCompletions: Int = 6,
    /** Speed assumed of targets that have not been observed. */
    public val unknownSpeed: UnknownSpeed = UnknownSpeed.ELIGIBLE_MEDIAN,
    /** Time per token while no target has been observed, in seconds. */
    public val defaultSecondsPerToken: Double = 1.0,
    /** Estimate of the requests in flight at a target. */
    public val depth: DepthEstimate = DecayingReportDepth,
    /** Choice among targets with nearly equal scores. */
    public val tieBreak: TieBreak = TieBreak.PREFIX_OR_RANDOM,
    /** Age at which the distance of a reported slowdown from the usual one has decayed to 1/e. */
    public val slowdownDecay: Duration = LoadReport.SLOWDOWN_DECAY_TIME,
    /**
     * Time without observation after which the distance of a learned speed from the median has decayed to 1/e. Applies
     * to targets that report their slowdown; without that figure a momentary slowness counts as the target's own.
     */
    public val speedDecay: Duration = 10.seconds,
) {
    /** Parameters for each kind of work of the hosted daemon. */
    public companion object {
        /** Maximum age of a load report that counts in full; a few service times. */
        private val REPORT_LIFETIME: Duration = 500.milliseconds

        /** Time per call or stream event that is assumed before the first observation, in seconds. */
        private const val DEFAULT_SECONDS = 0.02

        private val hosted = CompletionParameters(
            remoteRoundTrip = Duration.ZERO,
            tolerance = 0.0,
            warmUpCompletions = 0,
            defaultSecondsPerToken = DEFAULT_SECONDS,
        )

        /** Calls to plain services: rare at each instance, so open connections are preferred. */
        public val ForCalls: CompletionParameters = hosted.copy(
            newConnectionFactor = 1.8,
            remoteFactor = 1.3,
            loadPenalty = 0.5,
            jitter = 0.3,
            unknownSpeed = UnknownSpeed.CANDIDATE_FASTEST,
            depth = FreshReportDepth(REPORT_LIFETIME),
        )

        /** Samples at engines: a larger batch slows each request only slightly, so fast engines are filled first. */
        public val ForSamples: CompletionParameters = hosted.copy(
            batchSlowdown = 0.035,
            unknownSpeed = UnknownSpeed.CANDIDATE_MEDIAN,
            depth = OwnRequestsDepth,
            tieBreak = TieBreak.LEAST_LOADED,
        )
    }
}
