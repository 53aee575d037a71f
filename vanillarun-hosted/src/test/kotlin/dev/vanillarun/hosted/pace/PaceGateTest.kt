package dev.vanillarun.hosted.pace

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.CatalogService
import dev.vanillarun.core.catalog.ColdStart
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.fake.FakeTargets
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.live.LiveRequest
import dev.vanillarun.hosted.live.ReplicaChooser
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.OutgoingRequest
import dev.vanillarun.hosted.target.RequestEnd
import dev.vanillarun.hosted.target.RequestResult
import dev.vanillarun.hosted.target.ResponseHead
import dev.vanillarun.hosted.target.SendResult
import dev.vanillarun.hosted.target.TargetGate
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetListing
import dev.vanillarun.hosted.target.TargetLoad
import dev.vanillarun.hosted.target.TargetTracker
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val NOW_MS = 1_000_000L

/** An instance with target `t`, of a service with [coldStart], that it owns while [owns]. */
private class Instance(private val coldStart: ColdStart? = ColdStart(3.seconds, 16.0)) : TargetListing {
    val clock = ManualClock()
    var owns = true
    var ownsByLastGrant = false
    var announcementAge = 100.milliseconds
    val warm = replica()
    val gate = PaceGate(
        service = { CatalogService(it, coldStart = coldStart) },
        listing = this,
        ownership = object : TargetOwnership {
            override fun owns(replica: Replica) = owns

            override fun ownsByLastGrant(replica: Replica) = ownsByLastGrant
        },
        grant = ColdGrant(over = 1.5, slack = 5.0),
        clock = clock,
        wallClock = { NOW_MS + clock.now().nanos / 1_000_000 },
        events = NoOpEventRecorder,
    )
    val results = mutableListOf<RequestResult>()
    private val recorder = object : TargetGate {
        override fun refusal(replica: Replica, request: GatedRequest) = null

        override fun ended(replica: Replica, request: GatedRequest, end: RequestEnd) {
            results += end.result
        }
    }
    private val tracker = TargetTracker(clock)
    val targets = FakeTargets()
    val gateway = TargetGateway(
        client = targets,
        dialect = targets,
        tracker = tracker,
        departures = DepartureBoard(this, 2.seconds, clock, { NOW_MS }, NoOpEventRecorder),
        gates = TargetGates(listOf(gate, recorder), clock),
    )

    init {
        gate.retain(listOf(warm))
        clock.advance(30.seconds)
    }

    fun replica(coldFor: Duration = Duration.ZERO, startedAt: Long = 1, id: String = "t") =
        Replica(TargetId(id), "s", "$id:80", DataCentre("z"), slots = 6, startedAt = startedAt, coldFor = coldFor)

    /** Number of [tries] at one moment that [replica] gets; each is answered at once. */
    fun sends(replica: Replica, tries: Int = 50, kind: ExchangeKind = ExchangeKind.ITEM): Int = (1..tries).count {
        val isSent = gate.enter(replica, GatedRequest(kind)) == null
        if (isSent) answer(replica, GatedRequest(kind))
        isSent
    }

    fun answer(replica: Replica, request: GatedRequest = GatedRequest(ExchangeKind.ITEM), head: ResponseHead = head()) {
        gate.responded(replica, request, head)
        gate.ended(replica, request, RequestEnd(RequestResult.ANSWERED, 9.milliseconds, 9.milliseconds))
    }

    fun head(coldFor: Duration? = null, load: TargetLoad? = null) =
        ResponseHead(200, "r", "s", notRun = false, weights = null, load = load, coldFor = coldFor)

    suspend fun send() = gateway.send(request, warm) { }

    override fun of(service: String) = listOf(warm)

    override fun announcementAge(target: TargetId) = announcementAge

    val request = OutgoingRequest("r", "POST", "/", "h", Headers.Empty, ByteArray(0), null, null, priority = 0)
}

private val route = CatalogRoute(
    name = "r",
    host = "h",
    pathPrefix = "/",
    kind = RequestKind.IDEMPOTENT,
    services = listOf(ServiceShare("s")),
    timeout = 800.milliseconds,
    objective = 150.milliseconds,
)

private val call = LiveRequest(
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

private val item = GatedRequest(ExchangeKind.ITEM)

class PaceGateTest :
    DescribeSpec({
        describe("a target whose service has no cold start") {
            it("is not limited, also when it is new or has failed, while it reports only three figures") {
                val instance = Instance(coldStart = null)
                instance.answer(instance.warm, head = instance.head(load = TargetLoad(1, 0, 6)))
                instance.gate.unreachable(instance.warm)
                instance.sends(instance.warm) shouldBe 50
                instance.sends(instance.replica(startedAt = NOW_MS)) shouldBe 50
            }
            // Load: a queue of calls before a target that has come back.
            it("gets one request, then more with each answer, once it failed and reports the state of its machine") {
                val instance = Instance(coldStart = null)
                val report = instance.head(load = TargetLoad(1, 0, 6, slowdown = 1.0))
                instance.answer(instance.warm, head = report)
                instance.gate.unreachable(instance.warm)
                instance.clock.advance(1.seconds)
                instance.gate.enter(instance.warm, item) shouldBe null
                instance.gate.enter(instance.warm, item).shouldNotBeNull()
                instance.answer(instance.warm)
                repeat(2) { instance.gate.enter(instance.warm, item) shouldBe null }
                instance.gate.enter(instance.warm, item).shouldNotBeNull()
                repeat(6) { instance.answer(instance.warm) }
                repeat(9) { instance.gate.enter(instance.warm, item) shouldBe null }
            }
        }
        // Load: a queue of samples for one engine, at every instance.
        describe("a target that is cold") {
            it("gets the share of its owner, nothing from others, and its status reads beside") {
                val instance = Instance()
                val cold = instance.replica(coldFor = 2.seconds)
                instance.sends(cold) shouldBe 8
                instance.sends(cold, kind = ExchangeKind.STATUS) shouldBe 2
                instance.owns = false
                instance.clock.advance(1100.milliseconds)
                val refusal = instance.gate.enter(cold, item).shouldNotBeNull()
                refusal.until.shouldNotBeNull()
                instance.sends(cold, kind = ExchangeKind.ORDER) shouldBe 2
            }
            it("is one that says so in an answer, at any moment") {
                val instance = Instance()
                instance.answer(instance.warm, head = instance.head(coldFor = 1.seconds))
                instance.owns = false
                instance.sends(instance.warm) shouldBe 0
                instance.clock.advance(1600.milliseconds)
                instance.sends(instance.warm) shouldBe 12
            }
            it("is one that was started anew under its id, also by a clock that is wrong, or under another id") {
                listOf("t", "u").forEach { id ->
                    val instance = Instance()
                    instance.owns = false
                    instance.sends(instance.replica(startedAt = 2, id = id)) shouldBe 0
                }
            }
            it("is one that has failed, for others than its owner until a later announcement") {
                val instance = Instance()
                instance.owns = false
                instance.gate.unreachable(instance.warm)
                instance.announcementAge = 10.seconds
                instance.clock.advance(6.seconds)
                instance.sends(instance.warm) shouldBe 0
                instance.announcementAge = 100.milliseconds
                (instance.sends(instance.warm) > 0) shouldBe true
            }
            // Load: a queue of samples while the store is away.
            it("gets one request at a time from its last owner once it failed, and a cold one gets none from it") {
                val instance = Instance()
                instance.owns = false
                instance.ownsByLastGrant = true
                instance.gate.unreachable(instance.warm)
                instance.clock.advance(3.seconds)
                instance.gate.enter(instance.warm, item) shouldBe null
                instance.gate.enter(instance.warm, item).shouldNotBeNull()
                instance.answer(instance.warm)
                instance.gate.enter(instance.warm, item).shouldNotBeNull()
                instance.clock.advance(3600.milliseconds)
                instance.sends(instance.warm) shouldBe 12
            }
            it("is one that comes back into the listing without having answered") {
                val instance = Instance()
                instance.owns = false
                instance.gate.retain(emptyList())
                instance.gate.retain(listOf(instance.warm))
                instance.sends(instance.warm) shouldBe 0
            }
        }
        // Load: an engine turns cold unnoticed under full work.
        it("sends a warm target of such a service no more than two believed owners may together") {
            val instance = Instance()
            instance.sends(instance.warm) shouldBe 12
            instance.sends(instance.warm, kind = ExchangeKind.STATUS) shouldBe 5
        }
        // Load: a live call at each moment, while all targets of its service are cold.
        it("leaves a call no target where it is not the owner, so that it is refused at once, and serves its share") {
            val instance = Instance()
            instance.answer(instance.warm, head = instance.head(coldFor = 9.seconds))
            val tracker = TargetTracker(instance.clock)
            val departures = DepartureBoard(instance, 2.seconds, instance.clock, { NOW_MS }, NoOpEventRecorder)
            val gates = TargetGates(listOf(instance.gate), instance.clock)
            val chooser =
                ReplicaChooser(departures, tracker, { true }, DataCentre("z"), instance.clock, gates = gates)
            chooser.choose(call, emptySet()) shouldBe instance.warm
            instance.owns = false
            chooser.choose(call, emptySet()) shouldBe null
            chooser.reasonForNone(call) shouldBe "the target is cold and served by another instance"
            instance.owns = true
            instance.sends(instance.warm, kind = ExchangeKind.LIVE) shouldBe 7
        }
        describe("the gateway") {
            it("counts a request until it was surely sent, and withholds others without a failure of the target") {
                val instance = Instance()
                repeat(12) { instance.gate.enter(instance.warm, item) shouldBe null }
                instance.clock.advance(9.seconds)
                instance.send().shouldBeInstanceOf<SendResult.NotRun>()
                instance.targets.requestedAddresses.size shouldBe 0
                repeat(12) { instance.answer(instance.warm) }
                instance.clock.advance(2.seconds)
                instance.send().shouldBeInstanceOf<SendResult.Answered<Unit>>()
            }
            it("takes a target that it cannot reach for one that may return cold") {
                val instance = Instance()
                instance.owns = false
                instance.targets.behaviours["t:80"] = Behaviour.Disconnect
                instance.send().shouldBeInstanceOf<SendResult.Unknown>()
                instance.send().shouldBeInstanceOf<SendResult.NotRun>()
                instance.targets.requestedAddresses.size shouldBe 1
            }
            // Load: engines that crash while they stream samples.
            it("takes an answer that breaks off after its head for a failure, and one that is given up for neither") {
                val instance = Instance()
                instance.targets.behaviours["t:80"] = Behaviour.Endless(ByteArray(1), 1.seconds)
                runTest {
                    instance.gateway.send(instance.request, instance.warm) { answer ->
                        withTimeoutOrNull(1500.milliseconds) { answer.readBody(100) }
                    }
                }
                instance.results shouldBe listOf(RequestResult.INCONCLUSIVE)
                instance.targets.behaviours["t:80"] = Behaviour.EventStream(breakAfter = 2)
                instance.gateway.send(instance.request, instance.warm) { it.readBody(1000) }
                instance.results.last() shouldBe RequestResult.FAILED
                instance.owns = false
                instance.send().shouldBeInstanceOf<SendResult.NotRun>()
            }
            // Load: any; the faults are those of links and of this side.
            it("does not take an invalid answer or a connection that closed before the request for a failure") {
                listOf(Behaviour.Garbage, Behaviour.ClosedConnection).forEach { behaviour ->
                    val instance = Instance()
                    instance.owns = false
                    instance.targets.behaviours["t:80"] = behaviour
                    instance.send()
                    instance.targets.behaviours["t:80"] = Behaviour.Response()
                    instance.send().shouldBeInstanceOf<SendResult.Answered<Unit>>()
                }
            }
        }
    })
