package dev.vanillarun.hosted.live

import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTargets
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetTracker
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/** Forwarders for live calls in front of in-memory targets. */
internal class LiveTestFixture(
    val targets: FakeTargets,
    val gateway: TargetGateway,
    val live: LiveForwarder,
    val streams: StreamForwarder,
)

/** Runs [test] with [count] targets of the service `desk` at `t0:80`, `t1:80` and so on. */
internal suspend fun withTargets(
    count: Int,
    clock: MonotonicClock = SystemClock,
    test: suspend LiveTestFixture.() -> Unit,
): Unit = coroutineScope {
    val log = FakeTopicLog()
    repeat(count) { FakeCodec.announce(log, "t$it", "desk ready") }
    val replicas = ReplicaSource(log, FakeCodec, clock, NoOpEventRecorder)
    launch { replicas.follower.run() }
    replicas.replicas.first { it.size == count }
    val targets = FakeTargets()
    val tracker = TargetTracker(clock)
    val appender = DurableAppender(log, TopicName("crashes", keyed = false), "p", NoOpEventRecorder)
    launch { appender.run() }
    val crashes = CrashBoard(log, appender, CoroutineScope(coroutineContext), clock, NoOpEventRecorder)
    val departures = DepartureBoard(replicas, 2.seconds, clock, System::currentTimeMillis, NoOpEventRecorder)
    val gateway = TargetGateway(targets, targets, tracker, departures)
    val chooser = ReplicaChooser(departures, tracker, gateway::isWarm, DataCentre("z"), clock)
    val live = LiveForwarder(chooser, gateway, tracker, crashes, clock, NoOpEventRecorder)
    val streams = StreamForwarder(chooser, gateway, targets, tracker, crashes, clock, NoOpEventRecorder)
    LiveTestFixture(targets, gateway, live, streams).test()
    coroutineContext.cancelChildren()
}
