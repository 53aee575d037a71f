package dev.vanillarun.daemon

import dev.vanillarun.adapters.platform.HttpPlatform
import dev.vanillarun.adapters.platform.HttpPlatformLog
import dev.vanillarun.adapters.platform.platformHttpClient
import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.Intervals
import dev.vanillarun.core.config.ConfigPublisher
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.config.PublishOutcome
import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.standin.engine.startEngine
import dev.vanillarun.standin.platform.startPlatform
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeStrictlyIncreasing
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlin.time.Duration.Companion.seconds

private class Platform(private val client: HttpClient, address: String) {
    private val base = "http://$address"
    val log = HttpPlatformLog(client, base)
    private val calls = HttpPlatform(client, base)

    suspend fun start(name: String): RunningDaemon {
        val intervals = Intervals(logWaitMs = 100, loadReportMs = 50, leaseTermMs = 1_000)
        val settings = DaemonSettings(name, "torino", platform = base, intervals = intervals)
        return Daemon.start(settings, PlatformPorts(log, calls, ordering = calls))
    }

    suspend fun publish(engine: String, floor: Int) {
        val rule = SpendingRule(RouteName("assistant"), DataCentre("torino"), floor = floor, ceiling = 9)
        val config = testConfig(listOf("http://$engine"), emptyList())
        val publisher = ConfigPublisher(log, RecordWriter(InstanceId("op"), Incarnation("op")))
        val current = publisher.current().shouldBeInstanceOf<CurrentConfig.Known>()
        publisher.publish(current, config.copy(spending = listOf(rule)), "op", "test")
            .shouldBeInstanceOf<PublishOutcome.Published>()
    }

    suspend fun orders(): String = client.get("$base/v1/orders").bodyAsText()
}

class TargetOrdersTest :
    DescribeSpec({
        describe("the daemons of a data centre") {
            it("order what the bounds ask for, one at a time, and another goes on after a planned stop") {
                startPlatform().use { standin ->
                    startEngine().use { engine ->
                        val platform = Platform(platformHttpClient(), standin.address)
                        platform.publish(engine.address, floor = 3)
                        val daemons = listOf("i1", "i2").map { platform.start(it) }.associateBy { it.status.instance }
                        eventually(40.seconds) { platform.orders() shouldContain "\"desired\":3" }
                        val holder = standin.journal.entries("orders").single().body.issuer()
                        daemons.getValue(holder).drain() shouldBe DrainOutcome.CLEAN
                        platform.publish(engine.address, floor = 4)
                        eventually(40.seconds) { platform.orders() shouldContain "\"desired\":4" }
                        val last = standin.journal.entries("orders").last().body
                        last.issuer() shouldBe (daemons.keys - holder).single()
                        standin.journal.entries("orders").map { it.body.term() }.distinct().shouldBeStrictlyIncreasing()
                        daemons.getValue(last.issuer()).stop()
                    }
                }
            }
        }
    })

private fun String.issuer(): String = substringAfter("\"issuer\":\"").substringBefore('"')

private fun String.term(): Long = substringAfter("\"term\":").takeWhile { it.isDigit() }.toLong()
