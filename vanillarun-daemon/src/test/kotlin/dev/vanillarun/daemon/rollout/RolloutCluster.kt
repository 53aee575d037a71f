package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.CustomerKey
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.sample.RunnerAddress
import dev.vanillarun.core.sample.Sample
import dev.vanillarun.core.sample.SampleId
import dev.vanillarun.core.sample.StepKey
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.config.ActiveConfig
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlin.time.Duration.Companion.seconds

private val config = ActiveConfig(
    Offset.Start,
    RolloutConfig(
        customers = listOf(Customer(CustomerId("wear-team"), keys = listOf(CustomerKey("k", "00")))),
        routes = listOf(Route(RouteName("wear"), RouteKind.MODEL, model = "wear")),
    ),
)

/** Instances of one test that share a log and call each other directly in virtual time. */
internal class RolloutCluster(private val test: TestScope, private val log: PlatformLog) : AutoCloseable {
    private class Member(val service: RolloutService, val registry: StepRegistry, val scope: CoroutineScope)

    private val members = LinkedHashMap<String, Member>()
    private val unreachable = mutableSetOf<String>()
    private val clock = MonotonicClock { Instant(test.testScheduler.currentTime * 1_000_000) }

    fun instance(name: String, generate: suspend (GenerationRequest) -> SampleResult): RolloutService {
        val scope = test + SupervisorJob(test.coroutineContext[Job])
        val registry = StepRegistry(scope)
        val self = RunnerAddress(InstanceId(name), Incarnation(name), address = name)
        val journal = StepJournal(log, RecordWriter(self.instance, self.incarnation)) { self }
        val service = RolloutService(
            config = MutableStateFlow(config),
            journal = journal,
            registry = registry,
            peers = ::callPeer,
            generator = generate,
            self = { self },
            clock = clock,
        )
        members[name] = Member(service, registry, scope)
        return service
    }

    private suspend fun callPeer(runner: RunnerAddress, pull: ForwardedPull): PeerPullResult {
        if (runner.address in unreachable) return PeerPullResult.Unreachable("cut")
        return when (val result = members.getValue(runner.address).service.pull(pull, mayForward = false)) {
            is PullResult.Delivered -> PeerPullResult.Answered(200, RolloutJson.delivery(result.delivery))
            else -> PeerPullResult.Answered(503, "")
        }
    }

    fun runsAt(name: String): Set<StepKey> = members.getValue(name).registry.keys

    fun disconnect(name: String) {
        unreachable += name
    }

    fun kill(name: String) {
        disconnect(name)
        members.getValue(name).scope.cancel()
    }

    fun isDead(service: RolloutService): Boolean =
        members.filterKeys { it in unreachable }.values.any { it.service === service }

    fun trainer(
        key: StepKey,
        instances: List<RolloutService>,
        version: Long = 7,
        responseLost: () -> Boolean = { false },
    ) = TestTrainer(key, { instances.filterNot(::isDead) }, version, responseLost)

    override fun close() {
        members.values.forEach { it.scope.cancel() }
    }
}

/** A trainer that pulls from the live instances in turn. */
internal class TestTrainer(
    private val key: StepKey,
    private val live: () -> List<RolloutService>,
    private val version: Long,
    private val responseLost: () -> Boolean,
) {
    val samples = mutableListOf<Sample>()
    val ids get() = received.toList()
    val failed = mutableSetOf<SampleId>()
    private val received = mutableListOf<SampleId>()
    private var cursor = ""
    private var done = false
    private var pullCount = 0

    suspend fun pullAll() = pullUntil { done }

    suspend fun pullUntil(enough: (List<SampleId>) -> Boolean) {
        repeat(MAX_PULLS) {
            if (enough(received)) return
            pullOnce()
        }
        error("no end after $MAX_PULLS pulls: $received")
    }

    private suspend fun pullOnce() {
        val services = live()
        val result = services[pullCount++ % services.size].pull(ForwardedPull(key, cursor, 5, 1.seconds, version))
        if (responseLost()) return
        when (result) {
            is PullResult.Delivered -> record(result)
            is PullResult.Forwarded -> recordForwarded(result)
            else -> delay(1.seconds)
        }
    }

    private fun record(result: PullResult.Delivered) {
        samples += result.delivery.samples
        received += result.delivery.samples.map { it.id }
        failed += result.delivery.failed.map { it.first }
        cursor = result.delivery.held.cursor()
        done = result.delivery.remaining == 0
    }

    private fun recordForwarded(result: PullResult.Forwarded) {
        if (result.status != 200) return
        val body = ForwardedBody.parse(result.body)
        received += body.ids
        cursor = body.cursor
        done = body.done
    }

    private companion object {
        const val MAX_PULLS = 2_000
    }
}
