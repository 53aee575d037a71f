package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.ConfigPublisher
import dev.vanillarun.core.config.ConfigReducer
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.config.PublishOutcome
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.applyRecord
import dev.vanillarun.core.log.start
import dev.vanillarun.standin.log.AppendFault
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.Exhaustive
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.kotest.property.exhaustive.enum
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.test.runTest

private fun publisher(log: MemoryLog, name: String) =
    ConfigPublisher(log, RecordWriter(InstanceId(name), Incarnation("i")))

private suspend fun ConfigPublisher.currentConfig() = current().shouldBeInstanceOf<CurrentConfig.Known>()

private fun MemoryLog.base() =
    records.fold(ConfigReducer.start()) { seen, record -> ConfigReducer.applyRecord(seen, record) }.state.base

class ConfigPublisherTest :
    DescribeSpec({
        describe("two operators with one base") {
            it("ends with one winner, and the other learns who it was") {
                runTest {
                    val log = MemoryLog()
                    val first = publisher(log, "a")
                    val second = publisher(log, "b")
                    val base = first.currentConfig()
                    val won = first.publish(base, RolloutConfig(), "anna", "m")
                    val lost = second.publish(base, RolloutConfig(), "bruno", "m")
                    won shouldBe PublishOutcome.Published(checkNotNull(log.base()))
                    lost.shouldBeInstanceOf<PublishOutcome.Conflict>().winner?.author shouldBe "anna"
                }
            }
        }

        describe("an append with a fault") {
            it("is told truthfully") {
                checkAll(Exhaustive.enum<AppendFault>()) { fault ->
                    runTest {
                        val log = MemoryLog()
                        val faults = ArrayDeque(listOf(fault))
                        log.appendFault = { faults.removeFirstOrNull() ?: AppendFault.NONE }
                        val publisher = publisher(log, "a")
                        val outcome = publisher.publish(publisher.currentConfig(), RolloutConfig(), "anna", "m")
                        val before = log.base()
                        log.flushLate()
                        log.base() shouldBe before
                        when (fault) {
                            AppendFault.REFUSE -> outcome.shouldBeInstanceOf<PublishOutcome.Refused>()
                            else -> outcome shouldBe PublishOutcome.Published(checkNotNull(before))
                        }
                    }
                }
            }

            it("is in doubt, never refused, if the log becomes unavailable after the append") {
                runTest {
                    val log = MemoryLog()
                    val publisher = publisher(log, "a")
                    val base = publisher.currentConfig()
                    log.appendFault = {
                        log.readsFail = true
                        AppendFault.DROP_REPLY
                    }
                    val outcome = publisher.publish(base, RolloutConfig(), "anna", "m")
                    outcome.shouldBeInstanceOf<PublishOutcome.InDoubt>()
                }
            }
        }

        describe("many operators and any faults") {
            it("leaves each base with at most one winner, who knows it") {
                checkAll(40, Arb.list(Arb.enum<AppendFault>(), 0..12)) { faults ->
                    runTest {
                        val log = MemoryLog()
                        val pending = ArrayDeque(faults)
                        log.appendFault = { pending.removeFirstOrNull() ?: AppendFault.NONE }
                        val base = publisher(log, "z").currentConfig()
                        val outcomes = (0 until 4).map { n ->
                            async { publisher(log, "p$n").publish(base, RolloutConfig(), "p$n", "m") }
                        }.awaitAll()
                        val winners = outcomes.filterIsInstance<PublishOutcome.Published>()
                        log.flushLate()
                        winners.size shouldBe (if (outcomes.all { it is PublishOutcome.Refused }) 0 else 1)
                        winners.forEach { it.offset shouldBe log.base() }
                    }
                }
            }
        }
    })
