package dev.vanillarun.daemon.metrics

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.snapshots.GaugeSnapshot
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

private fun DaemonMetrics.scraped(): Map<String, Double> =
    registry.scrape { it == "vanillarun_processor_seconds" }.filterIsInstance<GaugeSnapshot>()
        .flatMap { it.dataPoints }.associate { it.labels["part"].orEmpty() to it.value }

class ProcessorTimeTest :
    DescribeSpec({
        describe("the processor time of a process") {
            it("is told in total, of the compiler and of the threads by name") {
                val spent = DaemonMetrics().apply { registerProcessorTime() }.scraped()
                spent.keys shouldContainAll setOf("process", "compiler")
                spent.getValue("process") shouldBeGreaterThan 0.0
            }
            it("has one part for all threads that differ by their number") {
                val end = CountDownLatch(1)
                val workers = List(3) { thread(name = "counted-worker-$it") { end.await() } }
                val parts = DaemonMetrics().apply { registerProcessorTime() }.scraped().keys
                end.countDown()
                workers.forEach { it.join() }
                parts shouldContain "thread counted-worker"
                parts.count { it.startsWith("thread counted-worker") } shouldBe 1
            }
        }
    })
