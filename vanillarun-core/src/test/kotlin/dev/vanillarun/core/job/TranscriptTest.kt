package dev.vanillarun.core.job

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.orNull
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf

private val events = Arb.bind(Arb.long(1L..6L), Arb.long(1L..4L).orNull(0.5)) { number, version ->
    SampleEvent(number, "piece $number", version)
}

class TranscriptTest :
    DescribeSpec({
        fun feed(all: List<SampleEvent>, min: Long, single: Boolean) =
            all.fold(Transcript().resumedUnder(2)) { text, event ->
                (text.add(event, min, single) as? TranscriptAppendResult.Appended)?.transcript ?: text
            }

        it("holds events 1 to n in order, each once, whatever arrives") {
            checkAll(Arb.list(events, 0..30)) { all ->
                val text = feed(all, min = 0, single = false)
                text.eventData shouldBe (1..text.lastEventNumber).map { "piece $it" }
            }
        }
        it("names every version that made an event, and none below the bound") {
            checkAll(Arb.list(events, 0..30), Arb.int(0..3)) { all, min ->
                feed(all, min.toLong(), single = false).versions.all { it >= min } shouldBe true
            }
        }
        it("names one version where only one is allowed") {
            checkAll(Arb.list(events, 0..30)) { all ->
                (feed(all, min = 0, single = true).versions.size <= 1) shouldBe true
            }
        }
        it("rejects an invalid event with the reason") {
            val one = Transcript().resumedUnder(3).add(SampleEvent(1, "a"), 3, false)
            val text = one.shouldBeInstanceOf<TranscriptAppendResult.Appended>().transcript
            text.add(SampleEvent(3, "c"), 3, false) shouldBe TranscriptAppendResult.Rejected(EventFault.OUT_OF_ORDER)
            text.resumedUnder(2).add(SampleEvent(2, "b"), 3, false) shouldBe
                TranscriptAppendResult.Rejected(EventFault.TOO_OLD)
            text.add(SampleEvent(2, "b", version = 4), 3, true) shouldBe
                TranscriptAppendResult.Rejected(EventFault.MIXED)
        }
        // Guards against texts that grow without end, and against sound long texts that are cut.
        it("grows while the text is no longer than the bound, and no further") {
            val sizes = Arb.element(0, 1, 70_000, 262_144, Transcript.MAX_LENGTH / 2, Transcript.MAX_LENGTH)
            checkAll(100, Arb.list(sizes, 1..20)) { all ->
                var text = Transcript()
                all.forEach { size ->
                    val fits = if (text.lastEventNumber == 0L) size.toLong() else text.text.length + 1L + size
                    val result = text.add(SampleEvent(text.lastEventNumber + 1, "x".repeat(size)), 0, false)
                    if (fits > Transcript.MAX_LENGTH) {
                        result shouldBe TranscriptAppendResult.Rejected(EventFault.TOO_LONG)
                    } else {
                        text = result.shouldBeInstanceOf<TranscriptAppendResult.Appended>().transcript
                    }
                }
                text.text.length shouldBeLessThanOrEqual Transcript.MAX_LENGTH
                text.isTooLong shouldBe false
            }
        }
        it("without its last event is what it was before that") {
            checkAll(Arb.list(Arb.long(1L..4L), 1..20)) { versions ->
                val all = versions.mapIndexed { at, version -> SampleEvent(at + 1L, "piece", version) }
                val before = feed(all.dropLast(1), min = 0, single = false)
                val shortened = feed(all, min = 0, single = false).withoutLastEvent().shouldNotBeNull()
                shortened.eventData shouldBe before.eventData
                shortened.versions shouldBe before.versions
                shortened.length shouldBe before.length
            }
        }
        it("without its last event is unknown if it was read back with several versions") {
            val read = Transcript(persistentListOf("a", "b"), persistentSetOf(1, 2), currentVersion = 2)
            read.withoutLastEvent() shouldBe null
            Transcript().withoutLastEvent() shouldBe null
        }
        it("joins the data of the events with line feeds") {
            feed(listOf(SampleEvent(1, "a"), SampleEvent(2, "b")), 0, false).text shouldBe "a\nb"
        }
    })
