package dev.vanillarun.daemon.metrics

import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.agreement.DutyRunner
import dev.vanillarun.daemon.agreement.LogFollower
import dev.vanillarun.daemon.dispatch.LoadPoller
import dev.vanillarun.daemon.peer.Gossip
import dev.vanillarun.daemon.peer.PeerLinks
import kotlin.time.DurationUnit

/** Metrics of cost and health of the control plane: peers, log, leases and load reports. Label sets are fixed. */
internal class ControlMetrics(private val metrics: DaemonMetrics, private val clock: MonotonicClock) {
    /** Registers metrics of peers, their connections and heartbeat traffic. */
    fun registerPeerMetrics(gossip: Gossip, links: PeerLinks) {
        metrics.gauge("vanillarun_peers", "Other instances that are known.", "state") {
            val membership = gossip.members
            val now = clock.now()
            val alive = membership.alive(now).size
            mapOf(
                "alive" to alive.toDouble(),
                "silent" to (membership.members.size - alive).toDouble(),
                "unreachable" to (membership.members.size - membership.callable(now).size).toDouble(),
            )
        }
        metrics.gauge("vanillarun_peer_connections", "Connections to peers that are kept.") { links.size.toDouble() }
        val traffic = gossip.traffic
        metrics.counter("vanillarun_heartbeats_total", "Heartbeats exchanged with peers.", "outcome") {
            mapOf("answered" to traffic.answered, "failed" to traffic.failed, "received" to traffic.received)
        }
        metrics.counter("vanillarun_heartbeat_bytes_total", "Bytes of the messages of heartbeats.", "direction") {
            mapOf("sent" to traffic.bytesSent, "received" to traffic.bytesReceived)
        }
    }

    /** Registers offset, lag and age of the last read of each of [followers], keyed by stream name. */
    fun registerLogMetrics(followers: Map<String, LogFollower<*>>) {
        metrics.gauge("vanillarun_log_position", "Position in the log up to which a stream was read.", "stream") {
            followers.mapValues { (_, follower) -> follower.state.value.view.next.value.toDouble() }
        }
        metrics.gauge("vanillarun_log_lag_records", "Positions of the log that were not read yet.", "stream") {
            followers.mapValues { (_, follower) -> follower.state.value.lag.toDouble() }
        }
        metrics.gauge("vanillarun_log_read_age_seconds", "Time since the log last answered a read.", "stream") {
            followers.mapNotNull { (stream, follower) ->
                follower.state.value.readAt?.let { stream to (clock.now() - it).toDouble(DurationUnit.SECONDS) }
            }.toMap()
        }
    }

    /** Registers a gauge of held leases with one value for each of [duties]. */
    fun registerLeaseMetrics(duties: List<DutyRunner>) {
        metrics.gauge("vanillarun_leases_held", "1 for each duty whose lease this instance holds, else 0.", "duty") {
            duties.associate { it.duty.value to if (it.state.value.term == null) 0.0 else 1.0 }
        }
    }

    /** Registers counters of the load reports that [poller] requested. */
    fun registerLoadReportMetrics(poller: LoadPoller) {
        metrics.counter("vanillarun_load_reports_total", "Load reports asked of targets.", "outcome") {
            val unanswered = poller.unanswered
            mapOf("answered" to poller.asked - unanswered, "failed" to unanswered)
        }
    }
}
