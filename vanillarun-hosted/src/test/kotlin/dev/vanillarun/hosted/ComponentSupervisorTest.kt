package dev.vanillarun.hosted

import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.runTest

class ComponentSupervisorTest :
    DescribeSpec({
        // Guards against a component that ends unnoticed while the instance stays ready and keeps its jobs.
        describe("a component that fails") {
            mapOf(
                "an exception" to IllegalStateException("x"),
                "an exhausted heap" to OutOfMemoryError("x"),
                "an exhausted stack" to StackOverflowError(),
            ).forEach { (name, failure) ->
                it("is started again after $name") {
                    runTest {
                        val restarted = CompletableDeferred<Unit>()
                        var starts = 0
                        val heap = HeapMonitor(ManualClock(), NoOpEventRecorder)
                        ComponentSupervisor(backgroundScope, NoOpEventRecorder, DaemonMetrics(), heap).start("c") {
                            if (++starts == 1) throw failure
                            restarted.complete(Unit)
                            awaitCancellation()
                        }
                        restarted.await()
                        starts shouldBe 2
                        heap.isExhausted shouldBe (failure is OutOfMemoryError)
                    }
                }
            }

            // Guards against a component that ends for good because not even its failure can be recorded.
            it("is started again if there is no memory for the record of its failure") {
                runTest {
                    val restarted = CompletableDeferred<Unit>()
                    var starts = 0
                    val events = EventRecorder { _, _, _ -> throw OutOfMemoryError("record") }
                    val heap = HeapMonitor(ManualClock(), events)
                    ComponentSupervisor(backgroundScope, events, DaemonMetrics(), heap).start("c") {
                        if (++starts == 1) throw OutOfMemoryError("x")
                        restarted.complete(Unit)
                        awaitCancellation()
                    }
                    restarted.await()
                    heap.isExhausted shouldBe true
                }
            }
        }
    })
