package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetTracker
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.ktor.http.Headers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val route = CatalogRoute(
    name = "r",
    host = "h",
    pathPrefix = "/",
    kind = RequestKind.IDEMPOTENT,
    services = listOf(ServiceShare("desk")),
    timeout = 800.milliseconds,
    objective = 150.milliseconds,
)

private val request = LiveRequest(
    id = "1",
    method = "GET",
    uri = "/",
    host = "h",
    headers = Headers.Empty,
    body = ByteArray(0),
    route = route,
    customer = null,
    received = Instant(0),
    deadline = Instant(0) + route.timeout,
)

/** One instance of many before [count] targets, with the connections that it has opened. */
private class Instance(replicas: ReplicaSource, seed: Int, clock: ManualClock) {
    val tracker = TargetTracker(clock)
    val connected = mutableSetOf<TargetId>()
    private val departures =
        DepartureBoard(replicas, 2.seconds, clock, System::currentTimeMillis, NoOpEventRecorder)
    val chooser =
        ReplicaChooser(departures, tracker, { it.id in connected }, DataCentre("z"), clock, random = Random(seed))

    /** Sends one call that takes [latency] at the chosen target. */
    fun call(latency: (Replica) -> Duration): TargetId {
        val chosen = chooser.choose(request, emptySet())!!
        connected += chosen.id
        tracker.latencyObserved(chosen, latency(chosen))
        return chosen.id
    }
}

class ReplicaChooserTest :
    DescribeSpec({
        val clock = ManualClock()

        suspend fun withReplicas(count: Int, test: suspend (ReplicaSource) -> Unit): Unit = coroutineScope {
            val log = FakeTopicLog()
            repeat(count) { FakeCodec.announce(log, "t$it", "desk ready") }
            val replicas = ReplicaSource(log, FakeCodec, clock, NoOpEventRecorder)
            launch { replicas.follower.run() }
            replicas.replicas.first { it.size == count }
            test(replicas)
            coroutineContext.cancelChildren()
        }

        describe("many instances with rare calls each") {
            it("open one connection each, however long the calls take") {
                withReplicas(8) { replicas ->
                    listOf(5, 24, 60, 190, 800).forEach { ms ->
                        val instances = List(95) { Instance(replicas, seed = it, clock) }
                        instances.forEach { instance -> repeat(10) { instance.call { ms.milliseconds } } }
                        instances.sumOf { it.connected.size } shouldBeLessThanOrEqual 95
                    }
                }
            }
            it("spread over all targets all the same") {
                withReplicas(8) { replicas ->
                    val instances = List(95) { Instance(replicas, seed = it, clock) }
                    instances.map { it.call { 40.milliseconds } }.toSet().size shouldBe 8
                }
            }
        }
        describe("an instance whose connected target turns slow") {
            it("leaves it once another one is known to be faster") {
                withReplicas(4) { replicas ->
                    repeat(50) { seed ->
                        val instance = Instance(replicas, seed, clock)
                        val slow = instance.call { 40.milliseconds }
                        val other = replicas.of("desk").first { it.id != slow }
                        instance.tracker.latencyObserved(other, 40.milliseconds) // answered a hedge
                        val replica = replicas.of("desk").first { it.id == slow }
                        repeat(20) { instance.tracker.latencyObserved(replica, 2.seconds) }
                        instance.call { 40.milliseconds } shouldNotBe slow
                    }
                }
            }
        }
        describe("an instance with many calls at once") {
            it("opens connections to further targets when the connected one has no slot left") {
                withReplicas(4) { replicas ->
                    val instance = Instance(replicas, seed = 1, clock)
                    val first = instance.call { 40.milliseconds }
                    val replica = replicas.of("desk").first { it.id == first }
                    repeat(2 * replica.slots) { instance.tracker.requestStarted(replica) }
                    instance.call { 40.milliseconds } shouldNotBe first
                }
            }
        }
    })
