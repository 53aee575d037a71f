package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.checkpoint.RunnerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobItem
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.job.RewardCall
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.CatalogCodec
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.OperatorRecord
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.checkpoint.Checkpoints
import dev.vanillarun.hosted.checkpoint.ProgressRecovery
import dev.vanillarun.hosted.checkpoint.ProgressSaver
import dev.vanillarun.hosted.checkpoint.ProgressTopics
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.evacuation.EvacuationGate
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTargets
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.live.CrashBoard
import dev.vanillarun.hosted.live.LiveForwarder
import dev.vanillarun.hosted.live.ReplicaChooser
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetTracker
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An event with the virtual time at which it was recorded. */
internal class TimedEvent(val at: Duration, val name: String, val item: String?, val attributes: Map<String, String>)

/**
 * A [JobRunner] in virtual time with [engines] engines `e0:80`, `e1:80` and so on, of four slots each, and [scorers]
 * targets `s0:80` and so on for reward calls. The engines stand in [dataCentres] by turns.
 * Announcements never change, so a restart of an engine goes unnoticed.
 */
internal class RunnerFixture(
    private val scope: TestScope,
    private val engines: Int,
    private val scorers: Int,
    private val dataCentres: List<String> = listOf("z"),
    private val keepsRuns: Boolean = false,
    jobRetention: Duration? = null,
) {
    val log = FakeTopicLog()
    val targets = FakeTargets()
    val recorded = mutableListOf<TimedEvent>()

    /** Runs before each event is recorded. */
    var onEvent: (name: String) -> Unit = {}
    private val clock = MonotonicClock { Instant(scope.currentTime.milliseconds.inWholeNanoseconds) }
    private val events = EventRecorder { name, links, attributes ->
        onEvent(name)
        recorded += TimedEvent(now, name, links.sample, attributes)
        EventId(InstanceId("i"), Incarnation("r"), recorded.size.toLong())
    }
    private val board = JobBoard(log, clock, events)
    private val codec = FixtureCodec(jobRetention)

    val now: Duration get() = scope.currentTime.milliseconds

    suspend fun start() {
        val background = scope.backgroundScope
        setEngines(Behaviour.EventStream())
        repeat(engines) { FakeCodec.announce(log, "e$it", "$ENGINES ready ${dataCentres[it % dataCentres.size]}") }
        repeat(scorers) { FakeCodec.announce(log, "s$it", "$SCORERS ready") }
        log.put(FakeCodec.operatorTopic, TopicRecord("catalog", byteArrayOf()))
        val catalog = CatalogSource(log, codec, clock, events)
        val replicas = ReplicaSource(log, codec, clock, events)
        val tracker = TargetTracker(clock)
        val placement = PlacementBoard(log, tracker, clock, events)
        val appender = DurableAppender(log, JobBoard.Topic, "jobs", NoOpEventRecorder)
        val crashAppender = DurableAppender(log, CrashBoard.Topic, "crashes", NoOpEventRecorder)
        val slots = SlotMembership(log, "i", events)
        val departures = DepartureBoard(replicas, 2.seconds, clock, { now.inWholeMilliseconds }, events)
        val gates = TargetGates(listOf(EvacuationGate(catalog.evacuations, replicas, clock)))
        val gateway = TargetGateway(targets, targets, tracker, departures, gates = gates)
        val crashes = CrashBoard(log, crashAppender, background, clock, events)
        val chooser = ReplicaChooser(departures, tracker, gateway::isWarm, DataCentre("z"), clock)
        val live = LiveForwarder(chooser, gateway, tracker, crashes, clock, events)
        val topics = ProgressTopics(log)
        val texts = DurableAppender(log, ProgressTopics.Texts, "texts", NoOpEventRecorder)
        val beats = DurableAppender(log, ProgressTopics.Runners, "beats", NoOpEventRecorder)
        val self = RunnerId("i", startedAt = 1)
        val wallClock = { now.inWholeMilliseconds }
        val checkpoints = Checkpoints(
            ProgressSaver(texts, beats, topics, self, { true }, clock, wallClock),
            ProgressRecovery(topics, self, clock, wallClock, events),
        )
        val ownership = JobOwnership(catalog, slots)
        val runner = JobRunner(
            inputs = RunnerInputs(
                board,
                catalog,
                replicas,
                placement,
                slots,
                tracker,
                departures,
                gates,
                ownership,
                checkpoints,
                keepsRuns = { keepsRuns },
            ),
            samples = SampleRunner(gateway, targets, tracker, clock),
            rewards = RewardCaller(catalog, live, clock, events),
            appender = appender,
            writer = "w",
            clock = clock,
            wallClock = wallClock,
            events = events,
            dispatcher = StandardTestDispatcher(scope.testScheduler),
        )
        listOf(catalog.follower, replicas.follower, board.follower, placement.follower, crashes.follower)
            .forEach { background.launch { it.run() } }
        listOf(appender, crashAppender, texts, beats).forEach { background.launch { it.run() } }
        background.launch { board.content.run() }
        background.launch { slots.run() }
        replicas.replicas.first { it.size == engines + scorers }
        catalog.catalog.first { it != null }
        background.launch { runner.run() }
    }

    fun setEngines(behaviour: Behaviour) = repeat(engines) { targets.behaviours["e$it:80"] = behaviour }

    fun setScorers(behaviour: Behaviour) = repeat(scorers) { targets.behaviours["s$it:80"] = behaviour }

    fun submit(id: String, items: List<JobItem>, minVersion: Long = 0, age: Duration = Duration.ZERO) {
        val submittedAt = (now - age).inWholeMilliseconds
        val job = Job(JobId(id), null, HOST, "/gen/", submittedAt, minVersion = minVersion, items = items)
        JobRecords.encode(JobRecord.Submitted(job), "caller").forEach { log.put(JobBoard.Topic, it) }
    }

    fun end(id: String) =
        JobRecords.encode(JobRecord.Ended(JobId(id)), "caller").forEach { log.put(JobBoard.Topic, it) }

    suspend fun awaitJob(id: String, condition: (JobView) -> Boolean): JobView =
        board.table.first { it.jobs[JobId(id)]?.let(condition) == true }.jobs.getValue(JobId(id))

    /** The first recorded event that meets [condition]; waits for it. */
    suspend fun awaitEvent(condition: (TimedEvent) -> Boolean): TimedEvent {
        while (recorded.none(condition)) delay(5.milliseconds)
        return recorded.first(condition)
    }

    /** Times from [since] on at which [item] was sent to an engine. */
    fun sends(item: JobItem, since: Duration = Duration.ZERO): List<Duration> =
        recorded.filter { it.name == "item.sent" && it.item == item.id.value && it.at >= since }.map { it.at }

    private class FixtureCodec(private val jobRetention: Duration?) : CatalogCodec by FakeCodec {
        override fun operatorRecord(key: String, value: ByteArray): OperatorRecord {
            if (key != "catalog") return FakeCodec.operatorRecord(key, value)
            val routes = listOf(route(ENGINES, "/gen/"), route(SCORERS, "/score/"))
            return OperatorRecord.CatalogPublished(Catalog(version = 1, routes = routes))
        }

        private fun route(service: String, path: String) = CatalogRoute(
            name = service,
            host = HOST,
            pathPrefix = path,
            kind = if (service == ENGINES) RequestKind.ROLLOUT else RequestKind.IDEMPOTENT,
            services = listOf(ServiceShare(service)),
            timeout = 2.seconds,
            objective = 1.seconds,
            maxAttempts = 3,
            jobRetention = jobRetention,
        )
    }

    companion object {
        const val HOST = "host.example"
        private const val ENGINES = "engines"
        private const val SCORERS = "scorers"

        /** Text of a complete [Behaviour.EventStream], whose five events have no data. */
        const val WHOLE_TEXT = "\n\n\n\n"

        /** [count] items, scored if [scored]; an item has the same identity in each call with the same [name]. */
        fun items(name: String, count: Int, scored: Boolean = false): List<JobItem> = (0 until count).map {
            val reward = RewardCall("score-$name$it", HOST, "/score/$name$it")
            JobItem(ItemId("$name$it"), path = "/gen/$name$it", reward = reward.takeIf { scored })
        }
    }
}

/** Runs [test] with a started fixture. */
internal fun withRunner(
    engines: Int = 4,
    scorers: Int = 3,
    dataCentres: List<String> = listOf("z"),
    keepsRuns: Boolean = false,
    jobRetention: Duration? = null,
    test: suspend RunnerFixture.() -> Unit,
) = runTest { RunnerFixture(this, engines, scorers, dataCentres, keepsRuns, jobRetention).apply { start() }.test() }
