package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.ConfigPublisher
import dev.vanillarun.core.config.ConfigReducer
import dev.vanillarun.core.config.ConfigState
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.ConfigPublication
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

private fun config(customer: String) = RolloutConfig(customers = listOf(Customer(CustomerId(customer))))

/** Follows the configuration stream and, after [recover], restores it if the log has lost it. */
private class ConfigReader(private val scope: TestScope, private val log: MemoryLog, private val name: String) {
    private val writer = RecordWriter(InstanceId(name), Incarnation(name))
    val follower: LogFollower<ConfigState> =
        LogFollower(log, setOf(StreamName.Config), ConfigReducer, clock = scope.virtualClock())
    private val followJob = scope.backgroundScope.launch { follower.run() }

    /** Id of the only customer of the configuration in force; null if there is none. */
    val customer get() = follower.state.value.state.inForce?.config?.customers?.single()?.id?.value

    fun recover() {
        val appender = LogAppender(log, scope.virtualClock())
        scope.backgroundScope.launch { appender.run() }
        val recovery = ConfigRecovery(follower, appender, writer, random = Random(name.hashCode()))
        scope.backgroundScope.launch { recovery.run() }
    }

    fun stop() = followJob.cancel()

    fun restart() = scope.backgroundScope.launch { follower.run() }
}

private suspend fun MemoryLog.current(): CurrentConfig =
    ConfigPublisher(this, RecordWriter(InstanceId("o"), Incarnation("o"))).current()

private suspend fun MemoryLog.publish(customer: String): Offset {
    val known = current().shouldBeInstanceOf<CurrentConfig.Known>()
    val base = known.view.state.base.shouldNotBeNull()
    val body = ConfigPublication(base, author = "o", message = customer, config = config(customer))
    val at = end
    val envelope = RecordWriter(InstanceId("o"), Incarnation(customer)).envelope(body)
    append(listOf(NewRecord(StreamName.Config, RecordCodec.encode(envelope))))
    return at
}

private suspend fun MemoryLog.fill() {
    append(listOf(NewRecord(StreamName("filler"), payload = "filler")))
}

class ConfigRecoveryTest :
    DescribeSpec({
        describe("instances that all missed what the log dropped") {
            it("restore the configuration that they had in force") {
                runTest {
                    val log = MemoryLog()
                    val published = log.publish("one")
                    val all = listOf("a", "b").map { ConfigReader(this, log, it) }
                    all.forEach { one -> one.follower.state.first { it.state.inForce != null } }
                    all.forEach { it.stop() }
                    log.fill()
                    log.truncate(log.end)
                    all.forEach { it.restart() }
                    all.forEach { it.recover() }
                    advanceTimeBy(1.minutes)
                    log.current() shouldBe CurrentConfig.Unanchored
                    advanceTimeBy(10.minutes)
                    val known = log.current().shouldBeInstanceOf<CurrentConfig.Known>()
                    known.inForce?.publication shouldBe published
                    all.map { it.follower.state.value.state.hasBase }.toSet() shouldBe setOf(true)
                }
            }

            it("restore a publication based on the one they had, if the log still retains it") {
                runTest {
                    val log = MemoryLog()
                    log.publish("one")
                    val one = ConfigReader(this, log, "a")
                    one.follower.state.first { it.state.inForce != null }
                    one.stop()
                    log.fill()
                    val second = log.publish("two")
                    log.truncate(second)
                    one.restart()
                    one.recover()
                    advanceTimeBy(10.minutes)
                    one.customer shouldBe "two"
                    log.current().shouldBeInstanceOf<CurrentConfig.Known>().inForce?.publication shouldBe second
                }
            }

            it("publish the newest again when one that knows an older one was faster") {
                runTest {
                    val log = MemoryLog()
                    log.publish("one")
                    val (old, new) = listOf("a", "b").map { ConfigReader(this, log, it) }
                    listOf(old, new).forEach { one -> one.follower.state.first { it.state.inForce != null } }
                    old.stop()
                    val second = log.publish("two")
                    new.follower.state.first { it.state.inForce?.publication == second }
                    new.stop()
                    log.fill()
                    log.truncate(log.end)
                    listOf(old, new).forEach { it.restart() }
                    old.recover()
                    advanceTimeBy(10.minutes)
                    log.current().shouldBeInstanceOf<CurrentConfig.Known>().inForce?.message shouldBe "one"
                    new.recover()
                    advanceTimeBy(10.minutes)
                    listOf(old, new).map { it.customer } shouldBe listOf("two", "two")
                    val known = log.current().shouldBeInstanceOf<CurrentConfig.Known>()
                    known.inForce.shouldNotBeNull().publication shouldBeGreaterThan second
                }
            }
        }
    })
