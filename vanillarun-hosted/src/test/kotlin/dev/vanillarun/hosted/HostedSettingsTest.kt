package dev.vanillarun.hosted

import dev.vanillarun.adapters.toml.ReadOutcome
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val good = """
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
        it("are read, with defaults for what may be left out") {
            val read = HostedSettings.read("s.toml", good).shouldBeInstanceOf<ReadOutcome.Read<HostedSettings>>().value
            read.hosting.store shouldBe "10.200.1.7:8408"
            read.hosting.leaseMs shouldBe 3000
        }
        it("name every problem at once, with its line") {
            val bad = good.replace("10.1.0.7:8406", "10.1.0.7").replace("\"torino-1\"", "\"\"") +
                "\nslots = 0\nlease_ms = 10\n"
            val problems = HostedSettings.read("s.toml", bad).shouldBeInstanceOf<ReadOutcome.Rejected>().problems
            problems.map { it.key }
                .shouldContainExactlyInAnyOrder("instance", "ready_address", "hosting.slots", "hosting.lease_ms")
            problems.first { it.key == "ready_address" }.line shouldBe 4
        }
        it("say what is missing") {
            val problems = HostedSettings.read("s.toml", good.replace("store =", "stored ="))
                .shouldBeInstanceOf<ReadOutcome.Rejected>().problems
            problems.any { it.key == "hosting.store" } shouldBe true
        }
    })
