package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetTracker
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An item may be at no engine for 5 s while there is room; half of that is left for the change of a slot's owner. */
private val MAX_IDLE = 2.5.seconds

/** Slots of each engine that [FakeCodec] announces. */
private const val SLOTS = 4

private val outcomes = Arb.element(
    RunOutcome.Interrupted(Transcript(), "crashed"),
    RunOutcome.NotRun("refused"),
    RunOutcome.Incompatible("too old"),
    RunOutcome.Overflowed("too long"),
    RunOutcome.Failed,
)

private fun noDepartures(replicas: ReplicaSource, clock: ManualClock) =
    DepartureBoard(replicas, 2.seconds, clock, { 0 }, NoOpEventRecorder)

class ItemBackoffLawsTest :
    DescribeSpec({
        // Guards against an item that is not due for long after engines crashed under it many times.
        it("an item is due again within the bound, however its runs ended") {
            checkAll(Arb.list(outcomes, 1..60)) { ends ->
                var progress = ItemProgress()
                var now = Instant(0)
                ends.forEach { end ->
                    progress = progress.afterRun(end, now)
                    val due = progress.notBefore ?: now
                    (due - now <= MAX_IDLE) shouldBe true
                    now = due
                }
            }
        }

        // Guards against an item that finds every engine backed off or taken for full after failures.
        it("an item waits no longer than the bound while an engine has a free slot, however the engines failed") {
            val failures = Arb.list(Arb.pair(Arb.int(0..3), Arb.int(0..3000)), 0..40)
            checkAll(failures, Arb.list(Arb.int(0..3), 0 until SLOTS), Arb.boolean()) { failed, older, answered ->
                val clock = ManualClock()
                val replicas = ReplicaSource(FakeTopicLog(), FakeCodec, clock, NoOpEventRecorder)
                replicas.accept(
                    (0..3).map { StoredTopicRecord(Offset(it.toLong()), "e$it", "s ready".encodeToByteArray()) },
                )
                val tracker = TargetTracker(clock)
                val placement = PlacementBoard(FakeTopicLog(), tracker, clock, NoOpEventRecorder)
                val selector = EngineSelector(replicas, tracker, placement, noDepartures(replicas, clock), clock)
                val begun = clock.now()
                val running = older.groupBy({ TargetId("e$it") }, { begun })
                clock.advance(1.milliseconds)
                failed.forEach { (engine, pause) ->
                    tracker.failed(replicas.replicas.value.getValue(TargetId("e$engine")))
                    clock.advance(pause.milliseconds)
                }
                if (answered) tracker.overloaded(replicas.replicas.value.getValue(TargetId("e0")))
                clock.advance(MAX_IDLE)
                selector.choose(task(), running, overdue = true).shouldBeInstanceOf<EngineChoice.Chosen>()
            }
        }

        it("an engine is not tried early while the slots of the others are taken") {
            val clock = ManualClock()
            val replicas = ReplicaSource(FakeTopicLog(), FakeCodec, clock, NoOpEventRecorder)
            replicas.accept(
                (0..2).map { StoredTopicRecord(Offset(it.toLong()), "e$it", "s ready".encodeToByteArray()) },
            )
            val tracker = TargetTracker(clock)
            val placement = PlacementBoard(FakeTopicLog(), tracker, clock, NoOpEventRecorder)
            val selector = EngineSelector(replicas, tracker, placement, noDepartures(replicas, clock), clock)
            val running = listOf("e1", "e2").associate { id -> TargetId(id) to List(SLOTS) { clock.now() } }
            repeat(3) { tracker.failed(replicas.replicas.value.getValue(TargetId("e0"))) }
            clock.advance(MAX_IDLE)
            selector.choose(task(), running, overdue = true) shouldBe EngineChoice.None.FULL
        }
        it("an engine gets no second run before it has answered the first one since its failure") {
            checkAll(Arb.int(1..20), Arb.int(0..6000), Arb.boolean()) { count, later, overdue ->
                val clock = ManualClock()
                val replicas = ReplicaSource(FakeTopicLog(), FakeCodec, clock, NoOpEventRecorder)
                replicas.accept(listOf(StoredTopicRecord(Offset(0), "e0", "s ready".encodeToByteArray())))
                val tracker = TargetTracker(clock)
                val placement = PlacementBoard(FakeTopicLog(), tracker, clock, NoOpEventRecorder)
                val selector = EngineSelector(replicas, tracker, placement, noDepartures(replicas, clock), clock)
                repeat(count) { tracker.failed(replicas.replicas.value.getValue(TargetId("e0"))) }
                clock.advance(later.milliseconds)
                val running = mapOf(TargetId("e0") to listOf(clock.now()))
                selector.choose(task(), running, overdue).shouldBeInstanceOf<EngineChoice.None>()
            }
        }
    })

private fun task(): SampleTask {
    val route = CatalogRoute(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = RequestKind.ROLLOUT,
        services = listOf(ServiceShare("s")),
        timeout = Duration.INFINITE,
        objective = Duration.INFINITE,
    )
    val item = RunnerFixture.items("i", 1).single()
    return SampleTask(Job(JobId("j"), null, "h", "/", submittedAt = 0, items = listOf(item)), item, route)
}
