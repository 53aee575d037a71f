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

private val noTurns = 300.milliseconds
private val stream = TopicName("duty", keyed = false)

private class Act(val machine: String, val term: Long, val at: Instant)

/** The store as a machine sees it that may be cut off from it. */
private class Path(private val log: FakeTopicLog) : TopicLog by log {
    @Volatile
    var cut = false

    override suspend fun append(
        topic: TopicName,
        records: List<TopicRecord>,
        identity: AppendIdentity?,
    ): TopicAppendResult = if (cut) TopicAppendResult.InDoubt("cut") else log.append(topic, records, identity)

    override suspend fun read(topic: TopicName, from: dev.vanillarun.core.log.Offset, wait: Duration): TopicReadResult =
        if (cut) TopicReadResult.Unavailable("cut") else log.read(topic, from, minOf(wait, 20.milliseconds))
}

/** A machine that acts on the duty whenever it may. */
private class Machine(private val name: String, log: FakeTopicLog, private val acts: MutableList<Act>) {
    val path = Path(log)
    private var runs = 0
    private var running: Job? = null
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
            timing = LeaseTiming(term = noTurns * 0.66, maxEffectDelay = 20.milliseconds),
            tick = 10.milliseconds,
        )
        val control = ControlDuty(runner, noTurns, SystemClock).also { duty = it }
        running = scope.launch {
            launch { appender.run() }
            launch { follower.run() }
            launch { control.run() }
            while (true) {
                control.perform(10.milliseconds) { term ->
                    acts += Act(name, term.value, SystemClock.now())
                    PlatformResult.Answered(Unit)
                }
                delay(5.milliseconds)
            }
        }
    }

    suspend fun stop(planned: Boolean) {
        if (planned) duty?.stop(200.milliseconds)
        running?.cancel()
    }
}

class ControlDutyTest :
    DescribeSpec({
        it("is never acted on in turns within the time in which there must be none, whatever stops, cuts and starts") {
            listOf(1, 2, 3).forEach { seed ->
                val random = Random(seed)
                val acts = CopyOnWriteArrayList<Act>()
                val log = FakeTopicLog()
                coroutineScope {
                    val machines = listOf("a", "b", "c").map { Machine(it, log, acts) }
                    machines.forEach { it.start(this) }
                    repeat(8) {
                        delay(random.nextInt(50, 99).milliseconds * 4)
                        val machine = machines.random(random)
                        when (random.nextInt(3)) {
                            0 -> machine.path.cut = !machine.path.cut

                            else -> {
                                machine.stop(planned = random.nextBoolean())
                                machine.start(this)
                            }
                        }
                    }
                    machines.forEach { it.path.cut = false }
                    val before = acts.size
                    eventually(10.seconds) { (acts.size > before) shouldBe true }
                    coroutineContext.cancelChildren()
                }
                acts.shouldNotBeEmpty()
                acts.map { it.term }.shouldBeSorted()
                val turns = acts.filterIndexed { at, act -> at == 0 || acts[at - 1].machine != act.machine }
                turns.zipWithNext { first, second -> first to second }.zip(turns.drop(2)).forEach { (pair, third) ->
                    if (pair.first.machine == third.machine) {
                        val last = acts.last { it.machine == third.machine && it.at < pair.second.at }
                        (third.at - last.at >= noTurns) shouldBe true
                    }
                }
            }
        }
        it("is taken over by another machine when its holder is gone") {
            val acts = CopyOnWriteArrayList<Act>()
            val log = FakeTopicLog()
            coroutineScope {
                val machines = listOf("a", "b").map { Machine(it, log, acts) }
                machines.forEach { it.start(this) }
                eventually(10.seconds) { acts.shouldNotBeEmpty() }
                val holder = acts.first().machine
                machines[if (holder == "a") 0 else 1].stop(planned = false)
                eventually(10.seconds) { acts.any { it.machine != holder } shouldBe true }
                coroutineContext.cancelChildren()
            }
        }
    })
