package dev.vanillarun.hosted.job

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.ItemResult
import dev.vanillarun.core.job.ItemState
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobItem
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobRecordCodec
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.store.ReadPace
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val id = JobId("j")
private val job = Job(
    id = id,
    customer = CustomerId("a"),
    host = "h",
    path = "/p/",
    submittedAt = 0,
    items = (1..3).map { JobItem(ItemId("i$it"), path = "/p/$it") },
)

private suspend fun FakeTopicLog.write(record: JobRecord, writer: String = "w") =
    append(JobBoard.Topic, JobRecordCodec.encode(record, writer))

private fun finished(item: Int, text: String = "text $item") =
    JobRecord.Finished(id, ItemResult(ItemId("i$item"), ItemState.COMPLETED, text))

class JobBoardTest :
    DescribeSpec({
        suspend fun following(log: FakeTopicLog, use: suspend (JobBoard) -> Unit): Unit = coroutineScope {
            val board = JobBoard(log, SystemClock, NoOpEventRecorder)
            launch { board.follower.run() }
            launch { board.content.run() }
            use(board)
            coroutineContext.cancelChildren()
        }

        describe("an instance that reads the jobs rarely, as nobody asks it for any") {
            // Guards against results that a caller waits for while the instance is between two reads.
            it("lists a result that the store has when a caller asks for it") {
                val log = FakeTopicLog()
                log.write(JobRecord.Submitted(job))
                coroutineScope {
                    val board = JobBoard(log, SystemClock, NoOpEventRecorder) { ReadPace(interval = 1.hours) }
                    launch { board.follower.run() }
                    launch { board.content.run() }
                    board.follower.state.first { it.ready }
                    log.write(finished(1))
                    val read = withTimeoutOrNull(5.seconds) { board.results(id, after = 0, wait = 1.minutes) }
                    read.shouldBeInstanceOf<LookupResult.Found<ResultPage>>().value.results.size shouldBe 1
                    coroutineContext.cancelChildren()
                }
            }
            it("counts as read until two seconds after the last question") {
                val clock = ManualClock()
                val board = JobBoard(FakeTopicLog(), clock, NoOpEventRecorder)
                board.isRead shouldBe false
                withTimeoutOrNull(50.milliseconds) { board.results(id, after = 0, wait = Duration.ZERO) }
                board.isRead shouldBe true
                clock.advance(2.seconds)
                board.isRead shouldBe false
            }
        }

        describe("an instance that did not take the job itself") {
            it("finds it once the store has it") {
                val log = FakeTopicLog()
                following(log) { board ->
                    board.follower.state.first { it.ready }
                    log.write(JobRecord.Submitted(job))
                    board.find(id).shouldBeInstanceOf<LookupResult.Found<*>>()
                }
            }
            it("says that a job does not exist only if the store says so") {
                val log = FakeTopicLog()
                following(log) { board ->
                    board.find(id) shouldBe LookupResult.Absent
                    log.up = false
                    board.find(id) shouldBe LookupResult.Unknown
                }
            }
            it("waits for a result and returns the position to continue from") {
                val log = FakeTopicLog()
                log.write(JobRecord.Submitted(job))
                following(log) { board ->
                    coroutineScope {
                        val read = async { board.results(id, after = 0, wait = 5.seconds) }
                        log.write(finished(2))
                        val page = read.await().shouldBeInstanceOf<LookupResult.Found<ResultPage>>().value
                        page.results.map { it.item.value } shouldBe listOf("i2")
                        page.next shouldBe 1
                        page.total shouldBe 3
                    }
                }
            }
        }
        describe("a view that is cut off from the store") {
            it("lists what it has and does not claim that there is no more") {
                val log = FakeTopicLog()
                val clock = ManualClock()
                log.write(JobRecord.Submitted(job))
                coroutineScope {
                    val board = JobBoard(log, clock, NoOpEventRecorder)
                    launch { board.follower.run() }
                    board.follower.state.first { it.ready }
                    log.write(finished(1))
                    board.table.first { it.jobs[id]?.results?.size == 1 }
                    log.up = false
                    board.follower.state.first { it.unavailableSince != null }
                    clock.advance(2.seconds)
                    board.results(
                        id,
                        after = 0,
                        wait = Duration.ZERO,
                    ).shouldBeInstanceOf<LookupResult.Found<ResultPage>>()
                    board.results(id, after = 1, wait = 1.milliseconds) shouldBe LookupResult.Unknown
                    coroutineContext.cancelChildren()
                }
            }
        }
        describe("an instance that starts after the history was dropped") {
            it("lists the same results at the same positions") {
                val log = FakeTopicLog()
                log.write(JobRecord.Submitted(job))
                log.write(finished(3))
                log.write(finished(1, "first run"), writer = "w1")
                log.write(JobRecord.Submitted(job.copy(submittedAt = 9)))
                log.write(finished(1, "second run"), writer = "w2")
                log.expire(JobBoard.Topic, log.all(JobBoard.Topic).size - 1L)
                following(log) { board ->
                    val page = board.results(id, after = 0, wait = Duration.ZERO)
                    page.shouldBeInstanceOf<LookupResult.Found<ResultPage>>().value.results.map { it.text } shouldBe
                        listOf("text 3", "first run")
                }
            }
            it("reads texts only when results are listed, from the first one that is missing") {
                val log = FakeTopicLog()
                log.write(JobRecord.Submitted(job))
                (1..3).forEach { log.write(finished(it)) }
                following(log) { board ->
                    board.follower.state.first { it.ready }
                    board.table.value.jobs.getValue(id).results.map { it.text } shouldBe listOf("", "", "")
                    log.snapshotPageRecords = 1
                    val readsBefore = log.snapshotReads.size
                    repeat(2) {
                        val page = board.results(id, after = 1, wait = Duration.ZERO)
                        page.shouldBeInstanceOf<LookupResult.Found<ResultPage>>().value.results.map { it.text } shouldBe
                            listOf("text 2", "text 3")
                    }
                    log.snapshotReads.drop(readsBefore) shouldBe
                        listOf("i2", "i3").map { JobRecordCodec.beforeTexts(id, ItemId(it)) }
                }
            }
            it("finds the texts of items whose identities begin each other") {
                val log = FakeTopicLog()
                val names = listOf("a", "a-b", "a.b", "a-b-c").map(::ItemId)
                log.write(JobRecord.Submitted(job.copy(items = names.map { JobItem(it, path = "/p") })))
                names.forEach {
                    log.write(JobRecord.Finished(id, ItemResult(it, ItemState.COMPLETED, "text of $it")))
                }
                log.snapshotPageRecords = 2
                following(log) { board ->
                    board.follower.state.first { it.ready }
                    val page = board.results(id, after = 0, wait = Duration.ZERO)
                    page.shouldBeInstanceOf<LookupResult.Found<ResultPage>>().value.results.map { it.text } shouldBe
                        names.map { "text of $it" }
                }
            }
            // Guards against reads of items that are repeated for good, since each ends with its impatient caller.
            it("reads a page on when its callers have given up, once for all of them") {
                val log = FakeTopicLog()
                log.write(JobRecord.Submitted(job))
                following(log) { board ->
                    board.follower.state.first { it.ready }
                    val gate = CompletableDeferred<Unit>()
                    log.snapshotGate = gate
                    val readsBefore = log.snapshotReads.size
                    repeat(3) { withTimeoutOrNull(20.milliseconds) { board.findWithItems(id) } shouldBe null }
                    gate.complete(Unit)
                    board.table.first { it.jobs.getValue(id).job?.loaded == true }
                    board.findWithItems(id) shouldBe LookupResult.Found(job)
                    log.snapshotReads.size - readsBefore shouldBe 1
                }
            }
            it("reads the items of a job when they are asked for, and has their number at once") {
                val log = FakeTopicLog()
                log.write(JobRecord.Submitted(job))
                following(log) { board ->
                    board.follower.state.first { it.ready }
                    board.table.value.jobs.getValue(id).job shouldBe job.copy(items = emptyList())
                    board.results(id, after = 0, wait = Duration.ZERO)
                        .shouldBeInstanceOf<LookupResult.Found<ResultPage>>().value.total shouldBe 3
                    log.up = false
                    board.findWithItems(id) shouldBe LookupResult.Unknown
                    log.up = true
                    board.findWithItems(id) shouldBe LookupResult.Found(job)
                }
            }
            // Guards against results at positions by the order of keys, when a page of texts goes on with results.
            it("takes no results from a page of texts, whose order is not that of the log") {
                val log = FakeTopicLog()
                val other = JobId("k")
                log.write(JobRecord.Submitted(job))
                log.write(finished(1))
                val unread = object : TopicLog by log {
                    override suspend fun read(topic: TopicName, from: Offset, wait: Duration, silence: Duration) =
                        awaitCancellation()
                }
                coroutineScope {
                    val board = JobBoard(unread, SystemClock, NoOpEventRecorder)
                    launch { board.follower.run() }
                    launch { board.content.run() }
                    board.follower.state.first { it.ready }
                    listOf("i2", "i1").forEach {
                        log.write(JobRecord.Finished(other, ItemResult(ItemId(it), ItemState.COMPLETED, "other")))
                    }
                    board.results(id, after = 0, wait = Duration.ZERO).shouldBeInstanceOf<LookupResult.Found<*>>()
                    board.table.value.jobs[other]?.results.orEmpty().size shouldBe 0
                    coroutineContext.cancelChildren()
                }
            }
            it("does not list a result without its text while the store is unavailable") {
                val log = FakeTopicLog()
                log.write(JobRecord.Submitted(job))
                log.write(finished(1))
                following(log) { board ->
                    board.follower.state.first { it.ready }
                    log.up = false
                    board.results(id, after = 0, wait = Duration.ZERO) shouldBe LookupResult.Unknown
                    log.up = true
                    board.results(id, after = 0, wait = Duration.ZERO).shouldBeInstanceOf<LookupResult.Found<*>>()
                }
            }
            it("keeps the texts that it has when the history is dropped") {
                val log = FakeTopicLog()
                log.write(JobRecord.Submitted(job))
                following(log) { board ->
                    board.follower.state.first { it.ready }
                    log.write(finished(1))
                    board.table.first { it.jobs[id]?.results?.size == 1 }
                    val before = log.snapshotReads.size
                    log.expire(JobBoard.Topic, 100)
                    board.follower.state.first { log.snapshotReads.size > before }
                    board.follower.state.first { it.caughtUpAt != null }
                    board.table.value.jobs.getValue(id).results.single().text shouldBe "text 1"
                }
            }
        }
    })
