package dev.vanillarun.daemon.metrics

import dev.vanillarun.daemon.caller.Connections

/** Registers the metrics of what callers send on [connections] without being a sound request. */
public fun DaemonMetrics.registerFaults(connections: Connections) {
    val help = "What callers sent without being one whole sound request, by kind."
    counter("vanillarun_malformed_requests_total", help, "kind") { connections.faultCounts }
}
