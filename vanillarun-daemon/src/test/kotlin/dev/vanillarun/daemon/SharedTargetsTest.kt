package dev.vanillarun.daemon

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.Intervals
import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.daemon.fake.ALICE_KEY
import dev.vanillarun.daemon.fake.BOB_KEY
import dev.vanillarun.daemon.fake.FakeLog
import dev.vanillarun.daemon.fake.FakeTarget
import dev.vanillarun.daemon.fake.TestCaller
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.server.response.respondText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CONCURRENCY = 8
private const val CALLERS_PER_INSTANCE = 24
private const val CALLS_PER_WINDOW = 400
private const val WINDOWS = 4
private const val LIMITED_PATH = "/loans/1"
private val serviceTime = 20.milliseconds
private val retryDelay = 10.milliseconds
private val eventTimeout = 30.seconds

/** Counts the requests that run concurrently at a target. */
private class ConcurrencyCounter {
    val running = AtomicInteger()
    val served = AtomicInteger()
    val peak = AtomicInteger()
    val concurrencySum = AtomicInteger()

    suspend fun serve() {
        val now = running.incrementAndGet()
        peak.updateAndGet { maxOf(it, now) }
        concurrencySum.addAndGet(now)
        try {
            delay(serviceTime)
        } finally {
            running.decrementAndGet()
        }
        served.incrementAndGet()
    }
}

/** Peak concurrency while the next [CALLS_PER_WINDOW] calls are served. */
private suspend fun ConcurrencyCounter.peakInNextCalls(): Int {
    val end = served.get() + CALLS_PER_WINDOW
    peak.set(0)
    eventually(eventTimeout) { served.get() shouldBeGreaterThan end }
    return peak.get()
}

/** Mean of the concurrency that each of the next [CALLS_PER_WINDOW] calls found on arrival. */
private suspend fun ConcurrencyCounter.meanInNextCalls(): Double {
    val begin = served.get()
    concurrencySum.set(0)
    eventually(eventTimeout) { served.get() shouldBeGreaterThan begin + CALLS_PER_WINDOW }
    return concurrencySum.get().toDouble() / (served.get() - begin)
}

private fun config(address: String, customers: (Customer) -> Customer = { it }): RolloutConfig {
    val plain = testConfig(emptyList(), listOf(address))
    return plain.copy(
        customers = plain.customers.map(customers),
        targets = plain.targets.map { it.copy(concurrency = CONCURRENCY) },
    )
}

private fun settings(name: String, seeds: List<String> = emptyList()) = DaemonSettings(
    instance = name,
    dataCentre = "torino",
    platform = "http://127.0.0.1:1",
    seeds = seeds,
    intervals = Intervals(heartbeatMs = 20, logWaitMs = 50),
)

/** Runs [block] against two daemons that have discovered each other. */
private suspend fun withTwoDaemons(config: RolloutConfig, block: suspend (TestCaller, TestCaller) -> Unit) {
    val log = FakeLog()
    withDaemon(config, log, settings("i1")) { one ->
        val first = this
        withDaemon(config, log, settings("i2", listOf(one.peerAddress))) { two ->
            val second = this
            eventually(eventTimeout) { listOf(one, two).forEach { it.status.members shouldHaveSize 1 } }
            block(first, second)
        }
    }
}

private fun CoroutineScope.callRepeatedly(caller: TestCaller, key: String) = launch {
    while (true) {
        val answer = caller.client.get("${caller.base}$LIMITED_PATH") { bearerAuth(key) }
        if (answer.status.value != 200) delay(retryDelay)
    }
}

class SharedTargetsTest :
    DescribeSpec({
        describe("two overloaded instances that share a target") {
            it("together stay within its concurrency once they have discovered each other") {
                val counter = ConcurrencyCounter()
                FakeTarget {
                    counter.serve()
                    respondText("ok")
                }.use { target ->
                    withTwoDaemons(config(target.address)) { first, second ->
                        coroutineScope {
                            listOf(first, second).forEach { caller ->
                                repeat(CALLERS_PER_INSTANCE) { callRepeatedly(caller, ALICE_KEY) }
                            }
                            eventually(eventTimeout) { counter.peakInNextCalls() shouldBeLessThanOrEqual CONCURRENCY }
                            repeat(WINDOWS) { counter.peakInNextCalls() shouldBeLessThanOrEqual CONCURRENCY }
                            coroutineContext.job.cancelChildren()
                        }
                    }
                }
            }
        }

        describe("a limit on concurrency that two instances share") {
            it(
                "is kept by both on average after discovery, and leaves capacity for another customer",
            ) {
                val limit = CONCURRENCY / 2.0
                val counter = ConcurrencyCounter()
                FakeTarget { seen ->
                    if (seen.uri.endsWith(LIMITED_PATH)) counter.serve()
                    respondText("ok")
                }.use { target ->
                    val limited = config(target.address) {
                        if (it.id.value == "alice") it.copy(maxConcurrency = limit.toInt()) else it
                    }
                    withTwoDaemons(limited) { first, second ->
                        coroutineScope {
                            listOf(first, second).forEach { caller ->
                                repeat(CALLERS_PER_INSTANCE) { callRepeatedly(caller, ALICE_KEY) }
                            }
                            eventually(eventTimeout) { counter.meanInNextCalls() shouldBeLessThanOrEqual limit }
                            val other = first.client.get("${first.base}/loans/2") { bearerAuth(BOB_KEY) }
                            other.status.value shouldBe 200
                            coroutineContext.job.cancelChildren()
                        }
                    }
                }
            }
        }
    })
