package dev.vanillarun.hosted.duty

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.lease.LeaseReducer
import dev.vanillarun.core.lease.LeaseTiming
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.store.AppendIdentity
import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicReadResult
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.daemon.agreement.DutyRunner
import dev.vanillarun.daemon.agreement.LogAppender
import dev.vanillarun.daemon.agreement.LogFollower
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.store.TopicPlatformLog
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val quietPeriod = 300.milliseconds
private val stream = TopicName("duty", keyed = false)

private class Action(val instance: String, val term: Long, val at: Instant)

/** The store as seen by one instance, which can be disconnected from it. */
private class StorePath(private val log: FakeTopicLog) : TopicLog by log {
    @Volatile
    var disconnected = false

    override suspend fun append(
        topic: TopicName,
        records: List<TopicRecord>,
        identity: AppendIdentity?,
    ): TopicAppendResult = if (disconnected) TopicAppendResult.InDoubt("cut") else log.append(topic, records, identity)

    override suspend fun read(
        topic: TopicName,
        from: dev.vanillarun.core.log.Offset,
        wait: Duration,
        silence: Duration,
    ): TopicReadResult = if (disconnected) {
        TopicReadResult.Unavailable(
            "cut",
        )
    } else {
        log.read(topic, from, minOf(wait, 20.milliseconds), silence)
    }
}

/** An instance that acts on the duty whenever it may; a restart gets a new incarnation. */
private class TestInstance(private val name: String, log: FakeTopicLog, private val actions: MutableList<Action>) {
    val path = StorePath(log)
    private var runs = 0
    private var runJob: Job? = null
    private var duty: ControlDuty? = null

    fun start(scope: CoroutineScope) {
        val leaseLog = TopicPlatformLog(path, stream, StreamName.Duty)
        val appender = LogAppender(leaseLog, SystemClock)
        val follower = LogFollower(leaseLog, setOf(StreamName.Duty), LeaseReducer, clock = SystemClock)
        val runner = DutyRunner(
            duty = DutyName("control"),
            follower = follower,
            appender = appender,
            writer = RecordWriter(InstanceId(name), Incarnation("${runs++}")),
            timing = LeaseTiming(term = quietPeriod * 0.66, maxEffectDelay = 20.milliseconds),
            tick = 10.milliseconds,
        )
        val controlDuty = ControlDuty(runner, quietPeriod, SystemClock).also { duty = it }
        runJob = scope.launch {
            launch { appender.run() }
            launch { follower.run() }
            launch { controlDuty.run() }
            while (true) {
                controlDuty.perform(10.milliseconds) { term ->
                    actions += Action(name, term.value, SystemClock.now())
                    PlatformResult.Answered(Unit)
                }
                delay(5.milliseconds)
            }
        }
    }

    suspend fun stop(planned: Boolean) {
        if (planned) duty?.stop(200.milliseconds)
        runJob?.cancel()
    }
}

class ControlDutyTest :
    DescribeSpec({
        it("never lets two instances alternate within the quiet period, through stops, disconnections and restarts") {
            listOf(1, 2, 3).forEach { seed ->
                val random = Random(seed)
                val actions = CopyOnWriteArrayList<Action>()
                val log = FakeTopicLog()
                coroutineScope {
                    val instances = listOf("a", "b", "c").map { TestInstance(it, log, actions) }
                    instances.forEach { it.start(this) }
                    repeat(8) {
                        delay(random.nextInt(50, 99).milliseconds * 4)
                        val instance = instances.random(random)
                        when (random.nextInt(3)) {
                            0 -> instance.path.disconnected = !instance.path.disconnected

                            else -> {
                                instance.stop(planned = random.nextBoolean())
                                instance.start(this)
                            }
                        }
                    }
                    instances.forEach { it.path.disconnected = false }
                    val before = actions.size
                    eventually(10.seconds) { (actions.size > before) shouldBe true }
                    coroutineContext.cancelChildren()
                }
                actions.shouldNotBeEmpty()
                actions.map { it.term }.shouldBeSorted()
                val turns = actions.filterIndexed { at, action ->
                    at == 0 || actions[at - 1].instance != action.instance
                }
                turns.zipWithNext { first, second -> first to second }.zip(turns.drop(2)).forEach { (pair, third) ->
                    if (pair.first.instance == third.instance) {
                        val last = actions.last { it.instance == third.instance && it.at < pair.second.at }
                        (third.at - last.at >= quietPeriod) shouldBe true
                    }
                }
            }
        }
        it("is taken over by another instance when its holder has crashed") {
            val actions = CopyOnWriteArrayList<Action>()
            val log = FakeTopicLog()
            coroutineScope {
                val instances = listOf("a", "b").map { TestInstance(it, log, actions) }
                instances.forEach { it.start(this) }
                eventually(10.seconds) { actions.shouldNotBeEmpty() }
                val holder = actions.first().instance
                instances[if (holder == "a") 0 else 1].stop(planned = false)
                eventually(10.seconds) { actions.any { it.instance != holder } shouldBe true }
                coroutineContext.cancelChildren()
            }
        }
    })
