package dev.vanillarun.core.config

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.log.ConfigChange
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.applyRecord
import dev.vanillarun.core.log.start
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

private val configs = arbitrary {
    val names = Arb.list(Arb.int(0..9), 0..6)
    val number = Arb.int(1..3)
    RolloutConfig(
        customers = names.bind().distinct().map { Customer(CustomerId("c$it"), weight = number.bind()) },
        routes = names.bind().distinct().map { Route(RouteName("r$it"), RouteKind.MODEL, queueLimit = number.bind()) },
        targets = names.bind().distinct().map {
            Target(TargetId("t$it"), TargetKind.ENGINE, "http://t", DataCentre("d"), emptyList(), number.bind())
        },
        priorities = names.bind().distinct().map { PriorityClass("p$it") },
        spending = names.bind().distinct().map {
            SpendingRule(RouteName("r$it"), DataCentre("d"), floor = number.bind(), ceiling = 4)
        },
        evacuated = names.bind().distinct().map { DataCentre("d$it") },
    )
}

class ConfigPatchTest :
    DescribeSpec({
        describe("a patch") {
            it("turns one configuration into the other") {
                checkAll(configs, configs) { before, after ->
                    before.patched(before.diff(after)) shouldBe after.canonical()
                }
            }
            it("is empty between equal configurations in any order") {
                checkAll(configs) { config -> config.diff(config.canonical()).isEmpty shouldBe true }
            }
        }

        describe("the history") {
            it("lists publications with the decision on each") {
                val writer = RecordWriter(InstanceId("w"), Incarnation("i"))
                val bodies = listOf(
                    ConfigChange(Offset.None, "anna", "first", ConfigPatch()),
                    ConfigChange(Offset.None, "bruno", "late", ConfigPatch()),
                )
                val records = bodies.mapIndexed { index, body ->
                    StoredRecord(Offset(index.toLong()), StreamName.Config, RecordCodec.encode(writer.envelope(body)))
                }
                ConfigHistory.of(records, Offset.Start).map { it.publication.author to it.verdict } shouldBe listOf(
                    "anna" to PublicationVerdict.ACCEPTED,
                    "bruno" to PublicationVerdict.CONFLICT,
                )
            }
        }

        describe("changes in the log") {
            it("add up to what the last one was made from, and stale ones have no effect") {
                checkAll(Arb.list(configs, 1..8)) { wanted ->
                    val writer = RecordWriter(InstanceId("w"), Incarnation("i"))
                    var view = ConfigReducer.start()
                    wanted.forEach { config ->
                        val base = checkNotNull(view.state.base)
                        val before = view.state.inForce?.config ?: RolloutConfig()
                        val stale = ConfigChange(Offset(base.value - 1), "b", "m", before.diff(RolloutConfig()))
                        listOf(stale, ConfigChange(base, "a", "m", before.diff(config))).forEach { body ->
                            val payload = RecordCodec.encode(writer.envelope(body))
                            view = ConfigReducer.applyRecord(view, StoredRecord(view.next, StreamName.Config, payload))
                        }
                        view.state.inForce?.config shouldBe config.canonical()
                    }
                }
            }
        }
    })
