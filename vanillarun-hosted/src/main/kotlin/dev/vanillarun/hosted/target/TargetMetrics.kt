package dev.vanillarun.hosted.target

import dev.vanillarun.daemon.metrics.DaemonMetrics

/** Registers the metrics of the exchanges with targets. */
internal fun DaemonMetrics.registerTargets(departures: DepartureBoard, strays: StrayAnswers, gateway: TargetGateway) {
    val departed = "Targets that announced their departure in a response, by the path of the first such response."
    counter("vanillarun_target_departures_total", departed, "path") { departures.countsByKind }
    val stray = "What targets sent without being the answer to a request of this instance, by kind."
    counter("vanillarun_stray_answers_total", stray, "kind") { strays.countsByKind }
    gauge("vanillarun_buffered_response_bytes", "Bytes of large responses that are being received.") {
        gateway.bufferedBytes.toDouble()
    }
}
