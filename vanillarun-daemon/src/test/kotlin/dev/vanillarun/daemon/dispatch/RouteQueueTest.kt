package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.admission.FairQueue
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.routing.PrefixHolders
import dev.vanillarun.core.routing.RequestProfile
import dev.vanillarun.core.routing.RouteShare
import dev.vanillarun.core.routing.TargetSelector
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.target.ConnectProbe
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

private val route = RouteName("assistant")
private val clock = MonotonicClock { Instant(0) }
private val print = Fingerprint("f")

/** A pool with one engine for each of [sizes], its concurrency. */
private fun pool(vararg sizes: Int): TargetPool {
    val config: RolloutConfig = testConfig(sizes.map { "http://127.0.0.1:${it + 1}" }, emptyList())
    val targets: List<Target> = config.targets.zip(sizes.toList()) { target, size -> target.copy(concurrency = size) }
    return TargetPool(clock).also { it.update(ActiveConfig(Offset.Start, config.copy(targets = targets))) }
}

private fun engine(index: Int) = TargetId("engine-$index")

private fun queue(pool: TargetPool, prefixes: PrefixHolders = PrefixHolders()) =
    RouteQueue(route, FairQueue(emptyList(), limit = 100), pool, prefixes, clock)

private fun request(prefix: String? = null) =
    QueuedRequest(CustomerId("alice"), "", RequestProfile(prefix = prefix), Instant(0) + 60.seconds)

/** Names of the [requests] that were granted, in order; the others are cancelled while they are queued. */
private suspend fun RouteQueue.granted(requests: List<Pair<String, QueuedRequest>>): List<String> = coroutineScope {
    val grantedNames = mutableListOf<String>()
    val jobs = requests.map { (name, request) ->
        launch(Dispatchers.Unconfined) { if (await(request) is QueueResult.Granted) grantedNames += name }
    }
    jobs.forEach { it.cancelAndJoin() }
    grantedNames
}

private fun placement(pool: TargetPool, share: RouteShare, selector: TargetSelector): Placement {
    val scope = CoroutineScope(Dispatchers.Unconfined)
    val crashes = CrashMonitor(scope, ConnectProbe(SelectorManager(Dispatchers.IO)), clock) { _, _ -> }
    return Placement(pool, selector, crashes, clock, PrefixHolders()) { share }
}

/** Selects the first target that is not excluded. */
private val first = TargetSelector { candidates, _, excluded, _ -> candidates.firstOrNull { it.id !in excluded }?.id }

class RouteQueueTest :
    DescribeSpec({
        val many = List(30) { "r$it" to request() }

        describe("a queue whose instance does not share the targets") {
            it("grants as many requests as their total concurrency") {
                queue(pool(4, 8)).granted(many).size shouldBe 12
            }
        }

        describe("a queue whose instance shares the targets with others") {
            it("grants its share of the concurrency") {
                val queue = queue(pool(4, 8)).also { it.share = RouteShare(contenders = 2, fraction = 0.5) }
                queue.granted(many).size shouldBe 2 + 4
            }
        }

        describe("requests whose prompt prefix is cached at a full target") {
            it("leave free slots elsewhere to requests whose prefix is cached there") {
                val pool = pool(1, 1)
                pool[engine(0)]?.begin(work = 1)
                val prefixes = PrefixHolders()
                prefixes.recordRequest("full", engine(0))
                prefixes.recordRequest("open", engine(1))
                val queue = queue(pool, prefixes)
                val blocked = pool[engine(1)]?.begin(work = 1)
                coroutineScope {
                    val grantedNames = mutableListOf<String>()
                    val jobs = listOf("full", "open").map { name ->
                        launch(Dispatchers.Unconfined) {
                            if (queue.await(request(name)) is QueueResult.Granted) grantedNames += name
                        }
                    }
                    blocked?.failed(null, clock.now())
                    queue.poll()
                    grantedNames shouldContainExactly listOf("open")
                    jobs.forEach { it.cancelAndJoin() }
                }
            }
        }

        describe("a placement") {
            it("skips a full target that the selector prefers while another has free slots") {
                val pool = pool(1, 2)
                val placement = placement(pool, RouteShare.Whole, first)
                val chosen = List(3) { placement.place(route, RequestProfile(), print, emptySet())?.state?.id }
                chosen shouldContainExactly listOf(engine(0), engine(1), engine(1))
            }

            it("uses a full target when no other is eligible") {
                val placement = placement(pool(1, 2), RouteShare.Whole, first)
                val chosen = List(2) { placement.place(route, RequestProfile(), print, setOf(engine(1)))?.state?.id }
                chosen shouldContainExactly listOf(engine(0), engine(0))
            }
        }
    })
