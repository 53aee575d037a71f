package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobItem
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTargets
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetTracker
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration.Companion.seconds

private const val MODEL = "m"
private const val EVENTS = 3L

/** An engine that names no weight version in its responses, and a text of [received] events under version 2. */
private class Resumption(received: Int, stream: Behaviour.EventStream = Behaviour.EventStream(EVENTS)) {
    private val clock = ManualClock()
    private val targets = FakeTargets().apply { behaviours["e:80"] = stream }
    private val engine = Replica(TargetId("e"), "engines", "e:80", DataCentre("z"), slots = 1)
    private val before = Transcript(
        eventData = persistentListOf("a", "b", "c").subList(0, received).let { persistentListOf<String>().addAll(it) },
        versions = if (received == 0) persistentSetOf() else persistentSetOf(2L),
        currentVersion = 2,
    )
    val tracker = TargetTracker(clock).apply { versionObserved(engine, MODEL, WeightVersion(2)) }
    val observedVersion: Long get() = tracker.weights(engine, MODEL)

    suspend fun run(): RunOutcome {
        val replicas = ReplicaSource(FakeTopicLog(), FakeCodec, clock, NoOpEventRecorder)
        val departures = DepartureBoard(replicas, 2.seconds, clock, { 0 }, NoOpEventRecorder)
        val gateway = TargetGateway(targets, targets, tracker, departures)
        val item = JobItem(ItemId("i"), "/gen/x")
        val job = Job(JobId("j"), null, "h", "/gen/", 0, model = MODEL, minVersion = 2, items = listOf(item))
        val services = listOf(ServiceShare("engines"))
        val route = CatalogRoute("r", "h", "/gen/", RequestKind.ROLLOUT, services, 10.seconds, 1.seconds)
        return SampleRunner(gateway, targets, tracker, clock).run(SampleTask(job, item, route), engine, before)
    }
}

class SampleRunnerTest :
    DescribeSpec({
        // Items whose last event had come, but not the end of their stream, were sent in vain up to 113 times.
        describe("an item that is resumed after its last event, at an engine that names no version then") {
            it("is complete, with the versions of its events") {
                val resumption = Resumption(received = EVENTS.toInt(), Behaviour.EventStream(EVENTS, weights = 2))
                val outcome = resumption.run().shouldBeInstanceOf<RunOutcome.Complete>()
                outcome.transcript.lastEventNumber shouldBe EVENTS
                outcome.transcript.versions shouldBe setOf(2L)
                resumption.observedVersion shouldBe 2
            }
        }
        // Guards against texts that are listed as complete though an engine cut its answer right after the head.
        describe("an item that is resumed, and whose answer ends with its connection before any event") {
            it("is interrupted, and keeps its events") {
                val stream = Behaviour.EventStream(events = 2, isFramed = false)
                val outcome = Resumption(received = 2, stream).run().shouldBeInstanceOf<RunOutcome.Interrupted>()
                outcome.transcript.lastEventNumber shouldBe 2
            }
        }
        // Guards against texts from an answer that nothing shows to be the engine's.
        describe("a success without the signature of its engine") {
            it("adds nothing to an item") {
                val stream = Behaviour.EventStream(EVENTS, signature = null)
                val outcome = Resumption(received = 2, stream).run().shouldBeInstanceOf<RunOutcome.Interrupted>()
                outcome.transcript.lastEventNumber shouldBe 2
            }
        }
        describe("an item that is resumed beyond the end of its text") {
            // Guards against texts that are complete with what a faulty engine has sent beyond their end.
            it("is not complete, and keeps none of its events") {
                val stream = Behaviour.EventStream(events = 1, weights = 2)
                Resumption(received = 3, stream).run().shouldBeInstanceOf<RunOutcome.Overflowed>()
            }
        }
        describe("an item whose end is confirmed by an engine that breaks off") {
            it("keeps its events") {
                val stream = Behaviour.EventStream(events = 3, breakAfter = 2, weights = 2)
                val outcome = Resumption(received = 2, stream).run().shouldBeInstanceOf<RunOutcome.Interrupted>()
                outcome.transcript.lastEventNumber shouldBe 2
            }
        }
        describe("an engine that generates events and names no version") {
            it("gives none to an item that needs a newer one, neither from its beginning nor resumed") {
                Resumption(received = 0).run().shouldBeInstanceOf<RunOutcome.NotRun>()
                Resumption(received = 1).run().shouldBeInstanceOf<RunOutcome.Incompatible>()
            }
        }
    })
