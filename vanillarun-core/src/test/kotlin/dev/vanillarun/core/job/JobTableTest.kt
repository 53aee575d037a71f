package dev.vanillarun.core.job

import dev.vanillarun.core.id.CustomerId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import kotlin.random.Random

private val ids = listOf("a", "b").map(::JobId)
private val items = (1..4).map { ItemId("item-$it") }

private fun job(id: JobId) = Job(
    id = id,
    customer = CustomerId("hule"),
    host = "h",
    path = "/p/",
    submittedAt = 0,
    items = items.map { JobItem(it, path = "/p/x") },
)

private val records: Arb<JobRecord> = Arb.choice(
    Arb.element(ids).map { JobRecord.Submitted(job(it)) },
    Arb.element(ids).map { JobRecord.Submitted(job(it).copy(items = emptyList())) },
    Arb.element(ids).map { JobRecord.Items(job(it)) },
    Arb.element(ids).map { JobRecord.Ended(it) },
    Arb.int(0 until ids.size * items.size * 3).map {
        val result = ItemResult(items[it % items.size], ItemState.COMPLETED, text = "run ${it / items.size}")
        JobRecord.Finished(ids[it % ids.size], result)
    },
    Arb.int(0 until ids.size * items.size * 3).map {
        val result = ItemResult(items[it % items.size], ItemState.COMPLETED, textWriter = "w${it / items.size}")
        JobRecord.Finished(ids[it % ids.size], result)
    },
    Arb.int(0 until ids.size * items.size * 3).map {
        val key = TextKey(items[it % items.size], "w${it / items.size}")
        JobRecord.Text(ids[it % ids.size], key, "text of ${key.item} by ${key.writer}")
    },
)

private val JobRecord.isLarge: Boolean
    get() = when (this) {
        is JobRecord.Submitted -> content.items.isNotEmpty()
        is JobRecord.Finished -> result.text.isNotEmpty()
        else -> false
    }

class JobTableTest :
    DescribeSpec({
        fun fold(all: List<JobRecord>) = all.fold(JobTable(), JobTable::apply)

        describe("results of a job") {
            it("keep their position and content whatever comes later") {
                checkAll(Arb.list(records, 0..40), Arb.list(records, 0..10)) { first, later ->
                    val before = fold(first)
                    val after = later.fold(before, JobTable::apply)
                    before.jobs.forEach { (id, view) ->
                        after.jobs.getValue(id).results.zip(view.results).forEach { (now, then) ->
                            val missedText = then.textWriter?.takeIf { now.textWriter == null }
                            now.copy(text = "", textWriter = null) shouldBe then.copy(text = "", textWriter = null)
                            now.text shouldBe (missedText?.let { "text of ${then.item} by $it" } ?: then.text)
                        }
                        after.jobs.getValue(id).results.size shouldBeGreaterThanOrEqual view.results.size
                    }
                }
            }
            it("hold each item once, at the position that the index names") {
                checkAll(Arb.list(records, 0..60)) { all ->
                    fold(all).jobs.values.forEach { view ->
                        view.results.map { it.item }.distinct().size shouldBe view.results.size
                        view.positions shouldBe view.results.withIndex().associate { (at, it) -> it.item to at }
                    }
                }
            }
            it(
                "are whole, whether texts and items come before them, after them, or from an earlier view",
            ) {
                checkAll(Arb.list(records, 0..60)) { all ->
                    val (texts, others) = all.partition { it is JobRecord.Text || it is JobRecord.Items }
                    val whole = fold(texts + others)
                    val results = whole.jobs.mapValues { it.value.results }.filterValues { it.isNotEmpty() }
                    listOf(fold(others + texts), fold(others).withContentOf(whole)).forEach { other ->
                        other.jobs.mapValues { it.value.results }.filterValues { it.isNotEmpty() } shouldBe results
                        whole.jobs.values.mapNotNull { it.job }.forEach { other.jobs[it.id]?.job shouldBe it }
                    }
                }
            }
            it("are the same for a reader that meets submissions only at their newest place") {
                checkAll(Arb.list(records, 0..40)) { all ->
                    val compacted = all.filterNot { it is JobRecord.Submitted } +
                        all.filterIsInstance<JobRecord.Submitted>().distinct()
                    fold(compacted).jobs.mapValues { it.value.results } shouldBe
                        fold(all).jobs.mapValues { it.value.results }
                }
            }
        }

        describe("a job") {
            it("is open from its submission until it is ended or all items have a result") {
                val submitted = fold(listOf(JobRecord.Submitted(job(ids[0]))))
                submitted.jobs.getValue(ids[0]).open shouldBe true
                submitted.apply(JobRecord.Ended(ids[0])).jobs.getValue(ids[0]).open shouldBe false
                val all = items.map { JobRecord.Finished(ids[0], ItemResult(it, ItemState.ABORTED)) }
                all.fold(submitted, JobTable::apply).jobs.getValue(ids[0]).open shouldBe false
            }
            it("is not open while only results of it were read") {
                fold(listOf(JobRecord.Finished(ids[0], ItemResult(items[0], ItemState.ABORTED)))).jobs
                    .getValue(ids[0]).open shouldBe false
            }
        }

        // Guards against jobs that are refused, or never run, because their items do not fit into one record.
        describe("a job whose items are stored in several records") {
            it("has the items of its submission once all were read, in any order and repeatedly, and not before") {
                checkAll(Arb.int(1..30), Arb.int(1..30), Arb.long()) { count, perRecord, seed ->
                    val random = Random(seed)
                    val whole = job(ids[0]).copy(
                        items = List(count) {
                            JobItem(ItemId("n$it"), "/p")
                        },
                        itemCount = count,
                    )
                    val stored = JobRecordCodec.encode(JobRecord.Submitted(whole), "w", perRecord)
                    stored.size shouldBe (count + perRecord - 1) / perRecord + 1
                    stored.dropLast(1).map { it.key }.let { it shouldBe it.sorted() }
                    val read = (stored + stored.filter { random.nextBoolean() }).shuffled(random)
                        .map { JobRecordCodec.decode(it.key, it.value)!! }
                    read.indices.forEach { at ->
                        val job = fold(read.take(at + 1)).jobs[ids[0]]?.job
                        val isWhole = read.take(at + 1).distinct().size == stored.size
                        job?.loaded shouldBe if (job == null) null else isWhole
                    }
                    fold(read).jobs.getValue(ids[0]) shouldBe JobView(job = whole)
                }
            }
            it("is read part by part, each after the key before it") {
                val stored = JobRecordCodec.encode(JobRecord.Submitted(job(ids[0])), "w", itemsPerRecord = 1)
                stored.dropLast(1).forEachIndexed { part, record ->
                    record.key shouldBeGreaterThan JobRecordCodec.beforeItems(ids[0], part)
                    record.key shouldBeLessThan JobRecordCodec.beforeItems(ids[0], part + 2)
                }
            }
        }

        describe("the record codec") {
            it("decodes every record that it encodes") {
                checkAll(records) { record ->
                    val stored = JobRecordCodec.encode(record, writer = "w.1")
                    val decoded = stored.map { JobRecordCodec.decode(it.key, it.value)!! }
                    fold(decoded) shouldBe fold(listOf(record))
                    stored.size shouldBe if (record.isLarge) 2 else 1
                    stored.map { it.key } shouldBe stored.map { it.key }.distinct()
                }
            }
            it("gives the results of two runs different keys, so that compaction keeps the first") {
                val record = JobRecord.Finished(ids[0], ItemResult(items[0], ItemState.COMPLETED, "x"))
                val keys = listOf("w.1", "w.2").flatMap { JobRecordCodec.encode(record, it) }.map { it.key }
                keys.distinct().size shouldBe 4
            }
            it("sorts items and texts before all other records, and each after the key before it") {
                val (itemsKey, submission) = JobRecordCodec.encode(JobRecord.Submitted(job(ids[0])), "w").map { it.key }
                val record = JobRecord.Finished(ids[0], ItemResult(items[1], ItemState.COMPLETED, "x"))
                val (text, result) = JobRecordCodec.encode(record, "w").map { it.key }
                val end = JobRecordCodec.encode(JobRecord.Ended(ids[0]), "w").single().key
                listOf(submission, result, end).forEach { it shouldBeGreaterThan JobRecordCodec.CONTENT_END }
                listOf(itemsKey, text).forEach { it shouldBeLessThan JobRecordCodec.CONTENT_END }
                itemsKey shouldBeGreaterThan JobRecordCodec.beforeItems(ids[0])
                text shouldBeGreaterThan JobRecordCodec.beforeTexts(ids[0], items[1])
                text shouldBeLessThan JobRecordCodec.beforeTexts(ids[0], items[2])
            }
            it("decodes a removed, damaged or unknown record to null") {
                JobRecordCodec.decode("job/a", null) shouldBe null
                JobRecordCodec.decode("job/a", "{".encodeToByteArray()) shouldBe null
                JobRecordCodec.decode("later/a", "{}".encodeToByteArray()) shouldBe null
                JobRecordCodec.decode("x", "{}".encodeToByteArray()) shouldBe null
            }
        }
    })
