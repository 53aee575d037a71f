package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.config.TargetKind
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.order.TargetDemand
import dev.vanillarun.core.routing.LoadReport
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.config.ActiveConfig
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val TORINO = DataCentre("torino")
private val MODEL = RouteName("assistant")
private val SERVICE = RouteName("loans")

private class DemandFixture {
    var now = Instant(0)
    var waiting = emptyMap<RouteName, Int>()
    private var config = ActiveConfig(
        Offset(1),
        RolloutConfig(
            routes = listOf(Route(MODEL, RouteKind.MODEL, model = "m"), Route(SERVICE, RouteKind.SERVICE, path = "/l")),
            targets = listOf(
                target("e1", TargetKind.ENGINE, MODEL),
                target("e2", TargetKind.ENGINE, MODEL, reclaimable = true),
                target("far", TargetKind.ENGINE, MODEL, zone = "novara"),
                target("s1", TargetKind.SERVICE, SERVICE),
            ),
            spending = listOf(MODEL, SERVICE).map { SpendingRule(it, TORINO, floor = 1, ceiling = 9) } +
                SpendingRule(MODEL, DataCentre("novara"), floor = 5, ceiling = 5),
        ),
    )
    private val pool = TargetPool(clock = { now }).apply { update(config) }
    val demand = PoolDemand(TORINO, { config }, pool::of, { waiting }, { now })

    private fun target(
        id: String,
        kind: TargetKind,
        route: RouteName,
        zone: String = "torino",
        reclaimable: Boolean = false,
    ) = Target(
        TargetId(id),
        kind,
        "http://$id",
        DataCentre(zone),
        listOf(route),
        concurrency = 8,
        reclaimable = reclaimable,
    )

    fun report(target: String, running: Int, queued: Int = 0) {
        checkNotNull(pool[TargetId(target)]).reported(LoadReport(running, queued, now))
    }

    /** Targets of the model that may get requests. */
    val open get() = pool.views(MODEL).filterNot { it.leaving }.map { it.id.value }

    fun evacuate(dataCentres: List<DataCentre>) {
        config = ActiveConfig(config.offset, config.config.copy(evacuated = dataCentres))
        pool.update(config)
    }

    fun leave(target: String) = pool.markLeaving(setOf(TargetId(target)))
}

class PoolDemandTest :
    DescribeSpec({
        describe("the demand of a data centre's route") {
            it("adds the requests reported by its own targets to those queued at this instance") {
                val fixture = DemandFixture()
                fixture.report("e1", running = 8, queued = 2)
                fixture.report("e2", running = 5)
                fixture.report("far", running = 100)
                fixture.waiting = mapOf(MODEL to 4)
                fixture.demand.sample()
                fixture.demand.demand(MODEL) shouldBe
                    TargetDemand(repeatable = 19.0, nonRepeatable = 0.0, reclaimableTargets = 1, concurrency = 8)
                fixture.demand.rules().map { it.route } shouldBe listOf(MODEL, SERVICE)
                fixture.demand.targetCount(MODEL) shouldBe 2
            }

            it("counts calls of services as non-repeatable") {
                val fixture = DemandFixture()
                fixture.report("s1", running = 3)
                fixture.demand.sample()
                fixture.demand.demand(SERVICE) shouldBe
                    TargetDemand(repeatable = 0.0, nonRepeatable = 3.0, concurrency = 8)
            }

            it("is null without a report, and once all reports are stale") {
                val fixture = DemandFixture()
                fixture.demand.sample()
                fixture.demand.demand(MODEL).shouldBeNull()
                fixture.report("e1", running = 1)
                fixture.demand.sample()
                fixture.demand.demand(MODEL)?.repeatable shouldBe 1.0
                fixture.now += 1.minutes
                fixture.demand.sample()
                fixture.demand.demand(MODEL).shouldBeNull()
            }

            it("has no bounds while the data centre is evacuated, whose targets get no requests all the while") {
                val fixture = DemandFixture()
                fixture.evacuate(listOf(TORINO))
                fixture.demand.rules() shouldBe emptyList()
                fixture.open shouldBe listOf("far")
                fixture.leave("far")
                fixture.open shouldBe emptyList()
                fixture.evacuate(emptyList())
                fixture.demand.rules().size shouldBe 2
                fixture.open shouldBe listOf("e1", "e2")
            }

            it("is a moving average, and excludes leaving targets") {
                val fixture = DemandFixture()
                fixture.report("e1", running = 0)
                fixture.report("e2", running = 8)
                fixture.demand.sample()
                fixture.leave("e2")
                fixture.now += 5.seconds
                fixture.demand.sample()
                val mean = checkNotNull(fixture.demand.demand(MODEL)).repeatable
                (mean > 6.0 && mean < 8.0) shouldBe true
                fixture.demand.targetCount(MODEL) shouldBe 1
            }
        }
    })
