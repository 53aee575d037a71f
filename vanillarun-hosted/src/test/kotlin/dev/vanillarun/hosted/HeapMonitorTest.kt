package dev.vanillarun.hosted

import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class HeapMonitorTest :
    DescribeSpec({
        // Guards against an instance that fails at its work for lack of memory and says that it is ready.
        describe("an instance whose heap was exhausted") {
            it("is told from others for some seconds after the last failure") {
                val clock = ManualClock()
                val heap = HeapMonitor(clock, NoOpEventRecorder)
                heap.isExhausted shouldBe false
                heap.failed("a", OutOfMemoryError())
                clock.advance(4.seconds)
                heap.failed("b", IllegalStateException(OutOfMemoryError()))
                clock.advance(4.seconds)
                heap.isExhausted shouldBe true
                clock.advance(2.seconds)
                heap.isExhausted shouldBe false
                heap.failures shouldBe 2
            }
        }
        it("other failures are none of the heap") {
            val heap = HeapMonitor(ManualClock(), NoOpEventRecorder)
            listOf(IllegalStateException("x"), StackOverflowError()).forEach { heap.failed("a", it) }
            heap.isExhausted shouldBe false
        }
    })
