package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.ConfigPublisher
import dev.vanillarun.core.config.ConfigReducer
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.toSnapshot
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.seconds

/** Maximum backoff between two reads of an unavailable log; see [Backoff]. */
private val maxBackoff = 5.seconds

class LogFollowerTest :
    DescribeSpec({
        val writer = RecordWriter(InstanceId("a"), Incarnation("i"))

        fun follower(log: MemoryLog) = LogFollower(log, setOf(StreamName.Config), ConfigReducer)

        suspend fun MemoryLog.publish(message: String) {
            val publisher = ConfigPublisher(this, writer)
            val current = publisher.current().shouldBeInstanceOf<CurrentConfig.Known>()
            publisher.publish(current, RolloutConfig(), author = "anna", message = message)
        }

        suspend fun MemoryLog.append(payload: String) = append(listOf(NewRecord(StreamName.Config, payload)))

        describe("a follower") {
            it("reads publications, skips damaged records and resumes after an outage") {
                runTest {
                    val log = MemoryLog()
                    val follower = follower(log)
                    val job = launch { follower.run() }
                    log.append("{broken")
                    log.publish("one")
                    follower.state.first { it.state.inForce?.message == "one" }.view.counts.damaged shouldBe 1
                    log.readsFail = true
                    log.append("{broken")
                    follower.state.first { !it.reachable }.state.inForce?.message shouldBe "one"
                    log.readsFail = false
                    log.publish("two")
                    follower.state.first { it.state.inForce?.message == "two" }
                    job.cancel()
                }
            }

            it(
                "is reachable within the maximum backoff after an outage, also without records or after truncation",
            ) {
                listOf<(MemoryLog) -> Unit>({ }, { it.truncate(it.end) }).forEach { change ->
                    runTest {
                        val log = MemoryLog()
                        val follower = follower(log)
                        val job = launch { follower.run() }
                        log.publish("one")
                        follower.state.first { it.state.inForce?.message == "one" }
                        log.readsFail = true
                        log.append("{broken")
                        follower.state.first { !it.reachable }
                        log.append(listOf(NewRecord(StreamName.Duty, "{}")))
                        change(log)
                        log.readsFail = false
                        val recoveredAt = testScheduler.currentTime
                        follower.state.first { it.reachable }
                        testScheduler.currentTime - recoveredAt shouldBeLessThan maxBackoff.inWholeMilliseconds
                        job.cancel()
                    }
                }
            }

            it("restores the state from a snapshot in a truncated log") {
                runTest {
                    val log = MemoryLog()
                    log.publish("one")
                    val early = follower(log)
                    val first = launch { early.run() }
                    val snapshot = early.state.first { it.ready && it.state.inForce != null }.view.toSnapshot()
                    first.cancel()
                    log.truncate(log.end)
                    log.append(RecordCodec.encode(writer.envelope(snapshot.shouldNotBeNull())))
                    val late = follower(log)
                    val second = launch { late.run() }
                    late.state.first { it.state.inForce?.message == "one" }.state.hasBase shouldBe true
                    second.cancel()
                }
            }
        }
    })
