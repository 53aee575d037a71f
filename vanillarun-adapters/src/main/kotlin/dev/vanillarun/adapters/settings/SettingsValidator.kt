package dev.vanillarun.adapters.settings

import java.net.URI
import java.net.URISyntaxException

/** An invalid value: its key and an error message that names the allowed values. */
internal data class SettingProblem(val key: String, val message: String)

/** Validates the values of settings that have been decoded. */
internal object SettingsValidator {
    /** Checks each value of [settings] and their combinations; returns all problems. */
    fun validate(settings: DaemonSettings): List<SettingProblem> = buildList {
        fun check(ok: Boolean, key: String, message: String) {
            if (!ok) add(SettingProblem(key, message))
        }
        check(NAME.matches(settings.instance), "instance", "has to be $NAME_RULE, but is \"${settings.instance}\"")
        val dataCentre = settings.dataCentre
        check(NAME.matches(dataCentre), "data_centre", "has to be $NAME_RULE, but is \"$dataCentre\"")
        check(isBaseUrl(settings.platform), "platform", "has to be like http://10.0.0.2:7000, without a path")
        for ((key, value) in listenAddresses(settings)) {
            check(isSocketAddress(value, 0), key, "$LISTEN_RULE, but is \"$value\"")
        }
        for ((key, value) in advertisedAddresses(settings)) {
            check(value.isEmpty() || isSocketAddress(value, 1), key, "$ADDRESS_RULE or empty, but is \"$value\"")
        }
        settings.seeds.forEachIndexed { i, seed ->
            check(isSocketAddress(seed, 1), "seeds[$i]", "$ADDRESS_RULE, but is \"$seed\"")
        }
        for ((key, value, range) in ranges(settings)) {
            check(value in range, key, "has to lie between ${range.first} and ${range.last}, but is $value")
        }
        val fixedAddresses = listenAddresses(settings).filter { (_, value) -> !value.endsWith(":0") }
        for ((address, keys) in fixedAddresses.groupBy({ it.second }, { it.first })) {
            check(keys.size == 1, keys.last(), "\"$address\" is also used for ${keys.first()}; give each its own port")
        }
        val body = settings.limits.maxBodyBytes
        check(
            settings.limits.maxBufferedBytes >= body,
            "limits.max_buffered_bytes",
            "must not be below limits.max_body_bytes, which is $body",
        )
        val heartbeat = settings.intervals.heartbeatMs
        check(
            settings.intervals.leaseTermMs > heartbeat,
            "intervals.lease_term_ms",
            "has to exceed intervals.heartbeat_ms, which is $heartbeat",
        )
    }
}

private fun listenAddresses(settings: DaemonSettings) = listOf(
    "caller_address" to settings.callerAddress,
    "admin_address" to settings.adminAddress,
    "peer_address" to settings.peerAddress,
)

private fun advertisedAddresses(settings: DaemonSettings) = listOf(
    "advertised.caller" to settings.advertised.caller,
    "advertised.admin" to settings.advertised.admin,
    "advertised.peer" to settings.advertised.peer,
)

private fun ranges(settings: DaemonSettings): List<Triple<String, Long, LongRange>> {
    val limits = settings.limits
    val intervals = settings.intervals
    return listOf(
        Triple("limits.max_body_bytes", limits.maxBodyBytes.toLong(), BODY_BYTES),
        Triple("limits.max_buffered_bytes", limits.maxBufferedBytes, BUFFERED_BYTES),
        Triple("limits.max_header_bytes", limits.maxHeaderBytes.toLong(), HEADER_BYTES),
        Triple("limits.max_header_count", limits.maxHeaderCount.toLong(), HEADER_COUNTS),
        Triple("limits.max_connections", limits.maxConnections.toLong(), CONNECTIONS),
        Triple("limits.max_answer_bytes", limits.maxAnswerBytes.toLong(), BODY_BYTES),
        Triple("limits.max_deadline_ms", limits.maxDeadlineMs, TIMEOUTS_MS),
        Triple("limits.request_read_timeout_ms", limits.requestReadTimeoutMs, SHORT_INTERVALS_MS),
        Triple("weights.loads_per_second", settings.weights.loadsPerSecond.toLong(), LOAD_RATES),
        Triple("weights.max_loading_percent", settings.weights.maxLoadingPercent.toLong(), PERCENTS),
        Triple("weights.load_timeout_ms", settings.weights.loadTimeoutMs, TIMEOUTS_MS),
        Triple("intervals.log_wait_ms", intervals.logWaitMs, SHORT_INTERVALS_MS),
        Triple("intervals.heartbeat_ms", intervals.heartbeatMs, SHORT_INTERVALS_MS),
        Triple("intervals.instance_list_ms", intervals.instanceListMs, SHORT_INTERVALS_MS),
        Triple("intervals.load_report_ms", intervals.loadReportMs, SHORT_INTERVALS_MS),
        Triple("intervals.usage_window_ms", intervals.usageWindowMs, LONG_INTERVALS_MS),
        Triple("intervals.lease_term_ms", intervals.leaseTermMs, LEASE_TERMS_MS),
        Triple("intervals.snapshot_ms", intervals.snapshotMs, LONG_INTERVALS_MS),
        Triple("intervals.drain_notice_ms", intervals.drainNoticeMs, DRAIN_NOTICES_MS),
        Triple("intervals.drain_timeout_ms", intervals.drainTimeoutMs, TIMEOUTS_MS),
    )
}

private val NAME = Regex("[a-z0-9][a-z0-9._-]{0,63}")
private const val NAME_RULE = "1 to 64 of a-z, 0-9, dot, dash and underscore"
private const val LISTEN_RULE = "has to be an IP address and a port, like 10.0.0.5:8080; port 0 selects a free one"
private const val ADDRESS_RULE = "has to be an IP address and a port, like 10.0.0.5:8080"
private const val MAX_PORT = 65_535
private val IP_ADDRESS = Regex("""(\d{1,3}(\.\d{1,3}){3})|(\[[0-9a-fA-F:]+])""")
private val BODY_BYTES = 1_024L..1_073_741_824L
private val BUFFERED_BYTES = 1_024L..1_099_511_627_776L
private val HEADER_BYTES = 1_024L..1_048_576L
private val HEADER_COUNTS = 10L..10_000L
private val CONNECTIONS = 1L..1_000_000L
private val TIMEOUTS_MS = 1_000L..3_600_000L
private val SHORT_INTERVALS_MS = 10L..60_000L
private val LOAD_RATES = 1L..10_000L
private val PERCENTS = 1L..100L
private val DRAIN_NOTICES_MS = 0L..60_000L
private val LONG_INTERVALS_MS = 100L..86_400_000L
private val LEASE_TERMS_MS = 500L..600_000L

private fun isSocketAddress(text: String, minPort: Int): Boolean {
    val port = text.substringAfterLast(':').toIntOrNull()
    return port in minPort..MAX_PORT && IP_ADDRESS.matches(text.substringBeforeLast(':', ""))
}

private fun isBaseUrl(text: String): Boolean = try {
    val uri = URI(text)
    uri.scheme in setOf("http", "https") && uri.host != null && uri.rawPath.isNullOrEmpty() && uri.rawQuery == null
} catch (_: URISyntaxException) {
    false
}
