package dev.vanillarun.adapters.settings

import kotlinx.serialization.Serializable

/** Settings of one daemon process, read from its TOML file and the command line. */
@Serializable
public data class DaemonSettings(
    /** Instance id; unique among live and recently stopped instances. */
    public val instance: String,
    /** Data centre in which the instance runs. */
    public val dataCentre: String,
    /** Base URL of the platform, for instance `http://10.0.0.2:7000`. */
    public val platform: String,
    /** Listen address for callers; port 0 selects a free port. */
    public val callerAddress: String = "127.0.0.1:0",
    /** Listen address for health checks, metrics and operators; port 0 selects a free port. */
    public val adminAddress: String = "127.0.0.1:0",
    /** Listen address for other instances; port 0 selects a free port. */
    public val peerAddress: String = "127.0.0.1:0",
    /** Addresses announced to others, where they differ from the listen addresses. */
    public val advertised: AdvertisedAddresses = AdvertisedAddresses(),
    /** Peer addresses that are tried besides the known ones, to find peers while the platform's list is unavailable. */
    public val seeds: List<String> = emptyList(),
    /** Limits for requests, responses and connections of callers. */
    public val limits: CallerLimits = CallerLimits(),
    /** Limits for the roll-out of weight versions. */
    public val weights: WeightSettings = WeightSettings(),
    /** Intervals and timeouts of periodic work and of shutdown. */
    public val intervals: Intervals = Intervals(),
)

/** Addresses announced to others; an empty one means the listen address. */
@Serializable
public data class AdvertisedAddresses(
    /** Announced address for callers. */
    public val caller: String = "",
    /** Announced address for health checks, metrics and operators. */
    public val admin: String = "",
    /** Announced address for other instances. */
    public val peer: String = "",
)

/** Limits for requests, responses and connections of callers. */
@Serializable
public data class CallerLimits(
    /** Maximum size of a request body in bytes. */
    public val maxBodyBytes: Int = DEFAULT_MAX_BODY_BYTES,
    /** Maximum total size of all request bodies held in memory at a time, in bytes. */
    public val maxBufferedBytes: Long = DEFAULT_MAX_BUFFERED_BYTES,
    /** Maximum total size of the header names and values of a request, in bytes. */
    public val maxHeaderBytes: Int = DEFAULT_MAX_HEADER_BYTES,
    /** Maximum number of header lines of a request. */
    public val maxHeaderCount: Int = 100,
    /** Maximum number of open connections from callers; also of requests in progress. */
    public val maxConnections: Int = 4096,
    /** Maximum size of a response in bytes. */
    public val maxAnswerBytes: Int = DEFAULT_MAX_ANSWER_BYTES,
    /** Maximum deadline that a caller may request, in milliseconds; a longer one is rejected. */
    public val maxDeadlineMs: Long = 600_000,
    /** Maximum time to receive a request body, in milliseconds. */
    public val requestReadTimeoutMs: Long = 10_000,
)

/** Limits for the roll-out of weight versions. */
@Serializable
public data class WeightSettings(
    /** Maximum weight loads per second over all engines; must not exceed the rate of the platform's weight store. */
    public val loadsPerSecond: Int = 100,
    /** Maximum share of the replicas of a route that load at a time, in percent; one replica may always load. */
    public val maxLoadingPercent: Int = 50,
    /** Timeout of a weight load, after which it counts as failed, in milliseconds. */
    public val loadTimeoutMs: Long = 10_000,
)

/** Intervals and timeouts, all in milliseconds. */
@Serializable
public data class Intervals(
    /** Longest long-poll wait of a log read while there are no new records. */
    public val logWaitMs: Long = 1_000,
    /** Interval between heartbeats to peers. */
    public val heartbeatMs: Long = 500,
    /** Interval between reads of the platform's instance list. */
    public val instanceListMs: Long = 1_000,
    /** Interval between polls of a target for its load report. */
    public val loadReportMs: Long = 500,
    /** Length of a window over which usage is summed and reported. */
    public val usageWindowMs: Long = 60_000,
    /** Duration of the lease on a duty. */
    public val leaseTermMs: Long = 10_000,
    /** Minimum interval between snapshots of a log stream; keep it well below a quarter of the log's retention. */
    public val snapshotMs: Long = 60_000,
    /** Time for which a stopping instance still accepts requests, while the balancer learns that it is leaving. */
    public val drainNoticeMs: Long = 2_000,
    /** Maximum time that a stopping instance waits for requests in progress. */
    public val drainTimeoutMs: Long = 30_000,
)

private const val KIB = 1024
private const val MIB = 1024 * KIB
private const val DEFAULT_MAX_BODY_BYTES = 8 * MIB
private const val DEFAULT_MAX_BUFFERED_BYTES = 128L * MIB
private const val DEFAULT_MAX_HEADER_BYTES = 16 * KIB
private const val DEFAULT_MAX_ANSWER_BYTES = 32 * MIB
