package dev.vanillarun.core.checkpoint

import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.Transcript
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

private val job = JobId("j")
private val item = ItemId("i")
private val old = RunnerId("old", startedAt = 1)

private fun key(first: Long, runner: RunnerId = old, text: Int = 0) = TextPartKey(job, item, runner, text, first)

private fun part(vararg events: String, version: Long = 3) = TextPart(events.toList(), setOf(version), version)

private class DrawnPart(val writer: Int, val text: Int, val first: Int, val count: Int)

private val parts = Arb.bind(Arb.int(0..2), Arb.int(0..1), Arb.int(1..6), Arb.int(1..4), ::DrawnPart)

class SavedTextTest :
    DescribeSpec({
        describe("the saved texts of an item") {
            // Guards against a text whose events come from two runs, the second of which did not follow the first.
            it("are joined from the beginning of one text of one runner, whichever parts are missing or come twice") {
                checkAll(Arb.list(parts, 0..12)) { drawn ->
                    val saved = drawn.associate { part ->
                        val writer = "r${part.writer}.${part.text}"
                        val events = List(part.count) { "$writer:${part.first + it}" }
                        key(part.first.toLong(), RunnerId(writer, startedAt = 1), part.text) to
                            TextPart(events, setOf(1), 1)
                    }
                    savedTexts(saved).values.forEach { text ->
                        val events = text.transcript.eventData
                        events.map { it.substringBefore(':') }.toSet().size shouldBe minOf(1, events.size)
                        events.map { it.substringAfter(':').toInt() } shouldBe (1..events.size).toList()
                    }
                }
            }
            it("are those of the runner that has most, and name all runners") {
                val new = RunnerId("new", startedAt = 2)
                val saved = savedTexts(
                    mapOf(key(1) to part("a", "b"), key(3) to part("c"), key(1, runner = new) to part("a", "b")),
                ).getValue(item)
                saved.transcript.eventData shouldBe listOf("a", "b", "c")
                saved.transcript.currentVersion shouldBe 3
                saved.runners shouldBe setOf(old, new)
            }
            it("end before a gap") {
                savedTexts(mapOf(key(1) to part("a"), key(3) to part("c"))).getValue(item)
                    .transcript.eventData shouldBe listOf("a")
            }
            // Guards against texts beyond the bound that reach other instances through the store.
            it("are not taken over if they are too long for a text") {
                val long = "x".repeat(Transcript.MAX_LENGTH / 2)
                val new = RunnerId("new", startedAt = 2)
                val saved = savedTexts(mapOf(key(1) to part(long), key(2) to part(long), key(1, new) to part("a")))
                saved.getValue(item).transcript.eventData shouldBe listOf("a")
                saved.getValue(item).runners shouldBe setOf(old, new)
            }
            // Guards against long texts that begin anew where only their end has to be confirmed after a takeover.
            it("know the versions of the events before the last one, unless an older build has saved them") {
                val part =
                    TextPart(listOf("a", "b"), versions = setOf(1, 2), currentVersion = 2, earlierVersions = setOf(1))
                fun shortened(part: TextPart) =
                    savedTexts(mapOf(key(1) to part)).getValue(item).transcript.withoutLastEvent()
                shortened(TextPart.decode(part.encode()).shouldNotBeNull())?.versions shouldBe setOf(1L)
                shortened(part.copy(earlierVersions = null)) shouldBe null
            }
            it("are none without parts") { savedTexts(emptyMap()).shouldBeEmpty() }
        }
        describe("the key of a part") {
            it("is read as it was written, and sorts by the number of the first event") {
                checkAll(Arb.int(1..9_999_998)) { first ->
                    val key = key(first.toLong(), RunnerId("front-a@1", startedAt = 17), text = 2)
                    TextPartKey.parse("$key") shouldBe key
                    ("$key" < "${key.copy(first = first + 1L)}") shouldBe true
                }
            }
            it("has no other form") {
                listOf("", "text/j/i/r.0/1", "text/j/i/r@x.0/1", "text/j/i/r@1.0", "text/j/i/r@1.0/x").forEach {
                    TextPartKey.parse(it) shouldBe null
                }
            }
        }
        it("of a damaged part is none") {
            TextPart.decode("{\"events\":3}".encodeToByteArray()) shouldBe null
            TextPart.decode(part("a").encode()) shouldBe part("a")
        }
    })
