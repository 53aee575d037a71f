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

/** A pool of engines that run as many requests at a time as [sizes] says. */
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

/** Names of the requests of [asked] that got their turn, in order; the others wait until they are cancelled. */
private suspend fun RouteQueue.granted(asked: List<Pair<String, QueuedRequest>>): List<String> = coroutineScope {
    val turns = mutableListOf<String>()
    val jobs = asked.map { (name, request) ->
        launch(Dispatchers.Unconfined) { if (await(request) is QueueResult.Granted) turns += name }
    }
    jobs.forEach { it.cancelAndJoin() }
    turns
}

private fun placement(pool: TargetPool, share: RouteShare, selector: TargetSelector): Placement {
    val scope = CoroutineScope(Dispatchers.Unconfined)
    val crashes = CrashMonitor(scope, ConnectProbe(SelectorManager(Dispatchers.IO)), clock) { _, _ -> }
    return Placement(pool, selector, crashes, clock, PrefixHolders()) { share }
}

/** Prefers the first target that is allowed. */
private val first = TargetSelector { candidates, _, excluded, _ -> candidates.firstOrNull { it.id !in excluded }?.id }

class RouteQueueTest :
    DescribeSpec({
        val many = List(30) { "r$it" to request() }

        describe("a queue before targets that are its instance's alone") {
            it("grants what they run at a time and no more") {
                queue(pool(4, 8)).granted(many).size shouldBe 12
            }
        }

        describe("a queue whose instance shares the targets with others") {
            it("grants its part") {
                val queue = queue(pool(4, 8)).also { it.share = RouteShare(contenders = 2, fraction = 0.5) }
                queue.granted(many).size shouldBe 2 + 4
            }
        }

        describe("requests whose prompt's prefix a full target holds") {
            it("leave the room elsewhere to those whose prefix is held there") {
                val pool = pool(1, 1)
                pool[engine(0)]?.begin(work = 1)
                val prefixes = PrefixHolders()
                prefixes.recordRequest("full", engine(0))
                prefixes.recordRequest("open", engine(1))
                val queue = queue(pool, prefixes)
                val blocked = pool[engine(1)]?.begin(work = 1)
                coroutineScope {
                    val turns = mutableListOf<String>()
                    val jobs = listOf("full", "open").map { name ->
                        launch(Dispatchers.Unconfined) {
                            if (queue.await(request(name)) is QueueResult.Granted) turns += name
                        }
                    }
                    blocked?.failed(null, clock.now())
                    queue.poll()
                    turns shouldContainExactly listOf("open")
                    jobs.forEach { it.cancelAndJoin() }
                }
            }
        }

        describe("a placement") {
            it("passes over a full target that it would prefer, while another has room") {
                val pool = pool(1, 2)
                val placement = placement(pool, RouteShare.Whole, first)
                val chosen = List(3) { placement.place(route, RequestProfile(), print, emptySet())?.state?.id }
                chosen shouldContainExactly listOf(engine(0), engine(1), engine(1))
            }

            it("takes a full target when no other may run the request") {
                val placement = placement(pool(1, 2), RouteShare.Whole, first)
                val chosen = List(2) { placement.place(route, RequestProfile(), print, setOf(engine(1)))?.state?.id }
                chosen shouldContainExactly listOf(engine(0), engine(0))
            }
        }
    })
