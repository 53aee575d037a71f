package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.placement.ModelPlacement
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.GateRefusal
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.ResponseHead
import dev.vanillarun.hosted.target.TargetGate
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetLoad
import dev.vanillarun.hosted.target.TargetTracker
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 4
private const val ITEMS = 10

/** Two engines without weights, `own` placed on no model or on that of the task, and `other` on another. */
private class Engines {
    val clock = ManualClock()
    val tracker = TargetTracker(clock)
    private val replicas = ReplicaSource(FakeTopicLog(), FakeCodec, clock, NoOpEventRecorder).also {
        it.accept(listOf("own", "other").mapIndexed { i, id -> stored(i, id, "s ready".encodeToByteArray()) })
    }
    private val board = PlacementBoard(FakeTopicLog(), tracker, clock, NoOpEventRecorder)
    private val departures = DepartureBoard(replicas, 2.seconds, clock, { 0 }, NoOpEventRecorder)

    /** Further requests that an engine may get; any number where there is no entry. */
    val rooms = mutableMapOf<String, Int>()
    private val gate = object : TargetGate {
        override fun refusal(replica: Replica, request: GatedRequest) =
            GateRefusal("no room").takeIf { rooms[replica.id.value] == 0 }

        override fun room(replica: Replica, request: GatedRequest) = rooms[replica.id.value] ?: Int.MAX_VALUE
    }
    val selector = EngineSelector(replicas, tracker, board, departures, clock, TargetGates(listOf(gate)))

    fun place(vararg models: Pair<String, String>) {
        val placement = ModelPlacement(models.associate { (engine, model) -> TargetId(engine) to model })
        val record = PlacementBoard.record(placement)
        board.accept(listOf(stored(0, record.key, record.value)))
    }

    fun report(engine: String, slowdown: Double?) {
        val load = TargetLoad(0, 0, SLOTS, slowdown)
        val head = ResponseHead(200, null, null, notRun = false, weights = null, load = load)
        tracker.responseReceived(replica(engine), head)
    }

    fun send(engine: String) = tracker.requestStarted(replica(engine))

    fun dispatch(engine: String, task: SampleTask = task()) = selector.dispatched(task, replica(engine))

    private fun replica(engine: String) = replicas.replicas.value.getValue(TargetId(engine))

    fun observe(engine: String, pace: Duration) = tracker.latencyObserved(replica(engine), pace)

    fun choose(running: Map<String, Int> = emptyMap(), task: SampleTask = task()): String? {
        val runs = running.entries.associate { (id, count) -> TargetId(id) to List(count) { clock.now() } }
        return (selector.choose(task, runs) as? EngineChoice.Chosen)?.engine?.id?.value
    }

    private fun stored(offset: Int, key: String, value: ByteArray?) =
        StoredTopicRecord(Offset(offset.toLong()), key, value)
}

private fun task(group: String = "g", promptTokens: Long = 0): SampleTask {
    val route = CatalogRoute(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = RequestKind.ROLLOUT,
        services = listOf(ServiceShare("s")),
        timeout = Duration.INFINITE,
        objective = Duration.INFINITE,
    )
    val items = RunnerFixture.items("i", ITEMS).map {
        it.copy(group = group, promptTokens = promptTokens, expectedTokens = 100)
    }
    return SampleTask(Job(JobId("j"), null, "h", "/", submittedAt = 0, items = items), items.first(), route)
}

class EngineSelectorTest :
    DescribeSpec({
        describe("engines on some of which a model is placed") {
            fun engines() = Engines().apply {
                place("own" to "", "other" to "m")
                observe("own", 60.milliseconds)
                observe("other", 20.milliseconds)
            }
            it("are those of the model while one of them has a free slot, however slow") {
                engines().choose(mapOf("own" to SLOTS - 1)) shouldBe "own"
            }
            it("are those of other models once all of its own are full") {
                engines().choose(mapOf("own" to SLOTS)) shouldBe "other"
            }
            it("do not take over a run that another engine would continue much faster") {
                val both = Engines().apply {
                    observe("own", 120.milliseconds)
                    observe("other", 30.milliseconds)
                }
                both.selector.findFaster(task(), TargetId("own"), emptyMap()) shouldBe TargetId("other")
                both.place("own" to "", "other" to "m")
                both.selector.findFaster(task(), TargetId("own"), emptyMap()) shouldBe null
            }
        }
        describe("a group of samples that share a long prompt") {
            fun engines(slowdown: Double?) = Engines().apply {
                listOf("own", "other").forEach {
                    observe(it, 20.milliseconds)
                    report(it, slowdown)
                }
                dispatch("own", task(promptTokens = 1000))
            }
            val sample = task(promptTokens = 1000)

            it("goes on at the engine that has read the prompt") {
                engines(1.0).choose(mapOf("own" to 1), sample) shouldBe "own"
                engines(1.0).choose(mapOf("own" to 1), task("another group", promptTokens = 1000)) shouldBe "other"
            }
            it("goes elsewhere rather than wait for longer than reading the prompt takes") {
                engines(1.0).choose(mapOf("own" to 1), task(promptTokens = 20)) shouldBe "other"
                engines(1.0).apply { observe("own", 200.milliseconds) }.choose(task = sample) shouldBe "other"
            }
            it("is placed as before where engines do not report the state of their machine") {
                engines(null).choose(mapOf("own" to 1), sample) shouldBe "other"
            }
        }
        // Runs were never moved away from an engine in slow start.
        describe("engines whose gate is closed") {
            fun engines(closed: String) = Engines().apply {
                observe("own", 120.milliseconds)
                observe("other", 30.milliseconds)
                rooms[closed] = 0
            }
            it("are left by runs that another engine would continue much faster, and get none") {
                engines("own").selector.findFaster(task(), TargetId("own"), emptyMap()) shouldBe TargetId("other")
                engines("other").selector.findFaster(task(), TargetId("own"), emptyMap()) shouldBe null
            }
        }
        // A round of choices sent six items to an engine whose pace allowed one; five were withheld and backed off.
        describe("an engine whose gate lets few further requests pass") {
            fun engines() = Engines().apply {
                observe("own", 60.milliseconds)
                observe("other", 20.milliseconds)
                rooms["other"] = 1
            }
            it("is chosen for as many, also before they are sent") {
                engines().choose() shouldBe "other"
                engines().choose(mapOf("other" to 1)) shouldBe "own"
            }
            it("is chosen for as many beside those that it runs") {
                val busy = engines().apply { repeat(2) { send("other") } }
                busy.choose(mapOf("other" to 2)) shouldBe "other"
                busy.choose(mapOf("other" to 3)) shouldBe "own"
            }
        }
        describe("engines without a placement") {
            it("are all used, the fastest first") {
                val all = Engines().apply {
                    observe("own", 60.milliseconds)
                    observe("other", 20.milliseconds)
                }
                all.choose() shouldBe "other"
                all.choose(mapOf("other" to SLOTS)) shouldBe "own"
                all.choose(mapOf("other" to SLOTS, "own" to SLOTS)) shouldBe null
            }
        }
    })
