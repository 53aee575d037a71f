package dev.vanillarun.hosted

import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.core.zone.Region
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val validSettings = """
    instance = "torino-1"
    data_centre = "torino"
    caller_address = "10.1.0.7:8405"
    ready_address = "10.1.0.7:8406"
    admin_address = "10.1.0.7:9464"

    [hosting]
    store = "10.200.1.7:8408"
    control = "10.200.0.60:8408"
""".trimIndent()

class HostedSettingsTest :
    DescribeSpec({
        it("are read, with defaults for optional values") {
            val read = HostedSettings.read(
                "s.toml",
                validSettings,
            ).shouldBeInstanceOf<ReadOutcome.Read<HostedSettings>>().value
            read.hosting.store shouldBe "10.200.1.7:8408"
            read.hosting.leaseMs shouldBe 3000
        }
        it("report all problems at once, with line numbers") {
            val invalidSettings = validSettings.replace("10.1.0.7:8406", "10.1.0.7").replace("\"torino-1\"", "\"\"") +
                "\nslots = 0\nlease_ms = 10\n"
            val problems = HostedSettings.read(
                "s.toml",
                invalidSettings,
            ).shouldBeInstanceOf<ReadOutcome.Rejected>().problems
            problems.map { it.key }
                .shouldContainExactlyInAnyOrder("instance", "ready_address", "hosting.slots", "hosting.lease_ms")
            problems.first { it.key == "ready_address" }.line shouldBe 4
        }
        it("report a missing value") {
            val problems = HostedSettings.read("s.toml", validSettings.replace("store =", "stored ="))
                .shouldBeInstanceOf<ReadOutcome.Rejected>().problems
            problems.any { it.key == "hosting.store" } shouldBe true
        }
        it("give the region of each data centre, and of the own one, for an operator with allowed regions") {
            val text = validSettings.replace("[hosting]", "region = \"north\"\n[hosting]") +
                "\ncold_over = 1.5\ncold_slack = 5\n[regions]\n\"b-1\" = \"south\"\n"
            val read = HostedSettings.read("s.toml", text)
                .shouldBeInstanceOf<ReadOutcome.Read<HostedSettings>>().value
            read.regionOf shouldBe
                mapOf(DataCentre("torino") to Region("north"), DataCentre("b-1") to Region("south"))
            read.hosting.coldSlack shouldBe 5.0
        }
        it("report a contradictory region and bounds that no instance can keep") {
            val text = validSettings.replace("[hosting]", "region = \"north\"\n[hosting]") +
                "\ncold_over = 0.5\ncold_slack = -1\nevacuate_ms = 0\n[regions]\ntorino = \"south\"\n"
            HostedSettings.read("s.toml", text).shouldBeInstanceOf<ReadOutcome.Rejected>().problems.map { it.key }
                .shouldContainExactlyInAnyOrder(
                    "region",
                    "hosting.cold_over",
                    "hosting.cold_slack",
                    "hosting.evacuate_ms",
                )
        }
    })
