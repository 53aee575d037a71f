package dev.vanillarun.adapters.events

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.timeline.Event
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.EventLinks
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.LoggerFactory

class JsonLineEventRecorderTest :
    DescribeSpec({
        val logger = LoggerFactory.getLogger(EVENT_LOGGER) as Logger
        val appender = ListAppender<ILoggingEvent>()
        beforeSpec {
            appender.start()
            logger.addAppender(appender)
        }
        afterSpec { logger.detachAppender(appender) }

        fun lines(): List<String> {
            val encoder = LogstashEncoder().apply { start() }
            return appender.list.map { encoder.encode(it).decodeToString().trim() }
        }

        describe("recorded events") {
            it("are read back from their JSON lines, and other lines are skipped") {
                val recorder = JsonLineEventRecorder(InstanceId("torino-1"), Incarnation("r1"))
                val links = EventLinks(
                    causedBy = listOf(EventId(InstanceId("x"), Incarnation("r"), 4)),
                    appends = RecordId(InstanceId("torino-1"), Incarnation("r1"), 2),
                    applies = RecordId(InstanceId("y"), Incarnation("r"), 0),
                    offset = Offset(17),
                    request = "q",
                    duty = "usage",
                    sample = "t/1/g/0",
                )
                val first = recorder.record("lease.acquired", links, mapOf("term" to "17"))
                val second = recorder.record("lease.lapsed", EventLinks(), emptyMap())
                val read = EventFileReader.read(lines().asSequence() + "plain text" + "{\"a\":1}" + "{bad")
                read.map { it.copy(displayTime = "") } shouldBe listOf(
                    Event(first, "lease.acquired", links, mapOf("term" to "17")),
                    Event(second, "lease.lapsed"),
                )
                listOf(first.sequence, second.sequence) shouldBe listOf(0L, 1L)
            }
        }
    })
