package dev.vanillarun.adapters.config

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.SettingsReader
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.TargetKind
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries

class ExamplesTest :
    DescribeSpec({
        val examples = Path.of("..", "examples")

        fun config(name: String): RolloutConfig = ConfigCollector.collect(listOf(examples.resolve(name)))
            .shouldBeInstanceOf<ReadOutcome.Read<CollectedConfig>>().value.config

        fun instances(name: String): List<DaemonSettings> =
            examples.resolve(name).resolve("instances").listDirectoryEntries("*.toml")
                .map { SettingsReader.read(it).shouldBeInstanceOf<ReadOutcome.Read<DaemonSettings>>().value }

        fun RolloutConfig.count(kind: TargetKind): Int = targets.count { it.kind == kind }

        listOf(
            Triple("ferraresi", setOf("torino", "novara", "milano"), 3),
            Triple("association", setOf("rennes", "brest", "vannes"), 6),
        ).forEach { (name, dataCentres, services) ->
            describe("the deployment $name") {
                it("is valid and has the expected customers, targets and data centres") {
                    val config = config(name)
                    config.customers.size shouldBe 8
                    config.count(TargetKind.ENGINE) shouldBe 6
                    config.count(TargetKind.SERVICE) shouldBe services
                    config.targets.map { it.dataCentre.name }.toSet() shouldBe dataCentres
                }
                it("has valid settings for each of its instances") {
                    val instances = instances(name)
                    instances.size shouldBeInRange 10..11
                    instances.map { it.instance }.distinct().size shouldBe instances.size
                    instances.map { it.dataCentre }.toSet() shouldBe dataCentres
                }
            }
        }

        it("order the priority classes as each deployment requires") {
            config("ferraresi").priorities.map { it.name } shouldBe listOf("live", "rollout", "sync")
            config("association").priorities.map { it.name } shouldBe listOf("rollout", "live", "sync")
        }
    })
