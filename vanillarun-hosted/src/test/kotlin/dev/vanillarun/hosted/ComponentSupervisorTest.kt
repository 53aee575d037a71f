package dev.vanillarun.hosted

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
        }
    })
