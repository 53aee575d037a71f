package dev.vanillarun.daemon.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of the data path. Labels are bounded by the configuration and by fixed sets of names. */
public class DaemonMetrics(
    /** Registry that `/metrics` is served from. */
    public val registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val requests = Counter.builder()
        .name("vanillarun_requests_total")
        .help("Answered requests of callers.")
        .labelNames("route", "result")
        .register(registry)
    private val duration = Histogram.builder()
        .name("vanillarun_request_duration_seconds")
        .help("Time from a request to the end of its answer.")
        .labelNames("route")
        .register(registry)
    private val attempts = Counter.builder()
        .name("vanillarun_attempts_total")
        .help("Attempts at targets.")
        .labelNames("route", "outcome")
        .register(registry)
    private val tokens = Counter.builder()
        .name("vanillarun_generated_tokens_total")
        .help("Generated tokens passed on.")
        .labelNames("route")
        .register(registry)

    /** Counts a response to a request of [route] with [result] and observes its duration. */
    public fun recordResponse(route: String, result: String, elapsed: Duration) {
        requests.labelValues(route, result).inc()
        duration.labelValues(route).observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    /** Counts an attempt for [route] that ended with [outcome]. */
    public fun recordAttempt(route: String, outcome: String) {
        attempts.labelValues(route, outcome).inc()
    }

    /** Adds [count] tokens to those forwarded to callers of [route]; ignored unless positive. */
    public fun recordTokens(route: String, count: Long) {
        if (count > 0) tokens.labelValues(route).inc(count.toDouble())
    }

    /** Registers a gauge without labels; [value] is evaluated at each scrape. */
    public fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Registers a gauge with one [label]; [values], keyed by label value, is evaluated at each scrape. */
    public fun gauge(name: String, help: String, label: String, values: () -> Map<String, Double>) {
        GaugeWithCallback.builder().name(name).help(help).labelNames(label)
            .callback { gauge -> values().forEach { (labelled, value) -> gauge.call(value, labelled) } }
            .register(registry)
    }

    /** Registers a counter with one [label]; [values], keyed by label value, is evaluated at each scrape. */
    public fun counter(name: String, help: String, label: String, values: () -> Map<String, Long>) {
        CounterWithCallback.builder().name(name).help(help).labelNames(label)
            .callback { counter -> values().forEach { (labelled, value) -> counter.call(value.toDouble(), labelled) } }
            .register(registry)
    }
}
