package dev.vanillarun.daemon.admin

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.Intervals
import dev.vanillarun.daemon.fake.FakeLog
import dev.vanillarun.daemon.fake.TestCaller
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldContain
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private fun settings(name: String, seeds: List<String> = emptyList()) = DaemonSettings(
    instance = name,
    dataCentre = "torino",
    platform = "http://127.0.0.1:1",
    seeds = seeds,
    intervals = Intervals(heartbeatMs = 20, logWaitMs = 50, loadReportMs = 20),
)

/** Scraped values, keyed by metric name with labels. */
private suspend fun TestCaller.metrics(): Map<String, Double> = adminText("/metrics").lines()
    .filter { it.startsWith("vanillarun_") }
    .associate { it.substringBeforeLast(' ') to it.substringAfterLast(' ').toDouble() }

class ControlMetricsTest :
    DescribeSpec({
        describe("control-plane metrics") {
            it("show peers, heartbeats and heartbeat bytes") {
                val log = FakeLog()
                withDaemon(testConfig(emptyList(), emptyList()), log, settings("i1")) { first ->
                    withDaemon(testConfig(emptyList(), emptyList()), log, settings("i2", listOf(first.peerAddress))) {
                        eventually(30.seconds) {
                            val seen = metrics()
                            seen shouldContain ("vanillarun_peers{state=\"alive\"}" to 1.0)
                            seen shouldContain ("vanillarun_peers{state=\"silent\"}" to 0.0)
                            seen.getValue("vanillarun_heartbeats_total{outcome=\"answered\"}") shouldBeGreaterThan 0.0
                            seen.getValue("vanillarun_heartbeats_total{outcome=\"received\"}") shouldBeGreaterThan 0.0
                            listOf("sent", "received").forEach {
                                seen.getValue("vanillarun_heartbeat_bytes_total{direction=\"$it\"}") shouldBeGreaterThan
                                    0.0
                            }
                        }
                    }
                }
            }
            it("count failed load reports") {
                val gone = "http://127.0.0.1:1"
                withDaemon(testConfig(emptyList(), listOf(gone)), settings = settings("i1")) {
                    eventually(30.seconds) {
                        metrics().getValue("vanillarun_load_reports_total{outcome=\"failed\"}") shouldBeGreaterThan 0.0
                    }
                }
            }
            it("distinguish a readable log from an unavailable one") {
                val log = FakeLog()
                withDaemon(testConfig(emptyList(), emptyList()), log, settings("i1")) {
                    metrics() shouldContain ("vanillarun_log_lag_records{stream=\"config\"}" to 0.0)
                    log.unavailable = true
                    eventually(30.seconds) {
                        metrics().getValue("vanillarun_log_read_age_seconds{stream=\"config\"}") shouldBeGreaterThan 0.2
                    }
                }
            }
            it("have fixed labels, none of them chosen by a caller") {
                withDaemon(testConfig(emptyList(), emptyList()), settings = settings("i1")) {
                    val peers = metrics().keys.filter { it.startsWith("vanillarun_peers{") }
                    peers shouldContainExactlyInAnyOrder
                        listOf("alive", "silent", "unreachable").map { "vanillarun_peers{state=\"$it\"}" }
                    metrics() shouldContainKey "vanillarun_peer_connections"
                    metrics().keys.count { it.startsWith("vanillarun_leases_held") } shouldBe 0
                }
            }
        }
    })
