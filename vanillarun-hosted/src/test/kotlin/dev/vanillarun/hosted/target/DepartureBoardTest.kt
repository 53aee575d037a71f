package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.fake.FakeTargets
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val allowance = 2.seconds
private const val MARKED_AT = 50_000L

private fun target(id: String, startedAt: Long = 1) =
    Replica(TargetId(id), "desk", "$id:80", DataCentre("z"), slots = 4, startedAt = startedAt)

private fun head(status: Int = 200, leaving: Boolean = true) =
    ResponseHead(status, "r", signature = "s", notRun = false, weights = null, load = null, leaving = leaving)

private class Fixture(vararg targets: Replica) : TargetListing {
    var listed = targets.toList()
    val clock = ManualClock()
    val recorded = mutableListOf<Map<String, String>>()
    private val events = EventRecorder { _, _, attributes ->
        recorded += attributes
        EventId(InstanceId("i"), Incarnation("1"), sequence = 0)
    }
    val board = DepartureBoard(this, allowance, clock, { MARKED_AT }, events)
    val targets = FakeTargets()
    val gateway = TargetGateway(this.targets, this.targets, TargetTracker(clock), board)

    override fun of(service: String) = listed.filter { it.service == service }

    override fun announcementAge(target: TargetId): Duration? = 7.milliseconds

    fun leave(replica: Replica, kind: ExchangeKind = ExchangeKind.LIVE) = board.responseReceived(replica, head(), kind)

    suspend fun send(replica: Replica, handle: suspend (OpenedResponse) -> Unit = {}) =
        gateway.send(request, replica, handle)

    private val request = OutgoingRequest(
        id = "r",
        method = "POST",
        uri = "/",
        host = "h",
        headers = Headers.Empty,
        body = ByteArray(0),
        customer = null,
        timeLeft = null,
        priority = 0,
        kind = ExchangeKind.ITEM,
    )
}

class DepartureBoardTest :
    DescribeSpec({
        val a = target("a")
        val b = target("b")

        describe("a departed target") {
            it("is recorded once, with its path and the age of its entry") {
                val fixture = Fixture(a, b)
                ExchangeKind.entries.forEach { fixture.leave(a, it) }
                fixture.recorded.single() shouldBe mapOf(
                    "target" to "a",
                    "service" to "desk",
                    "address" to "a:80",
                    "path" to "live",
                    "entry_age_ms" to "7",
                )
                fixture.board.countsByKind.filterValues { it > 0 } shouldBe mapOf("live" to 1L)
            }
            it("is left out while another is listed, and serves for the allowed time if there is none") {
                val fixture = Fixture(a, b)
                fixture.leave(a)
                fixture.board.eligible("desk").shouldContainExactly(b)
                fixture.leave(b)
                fixture.board.eligible("desk").shouldContainExactly(a, b)
                fixture.clock.advance(allowance)
                fixture.board.eligible("desk").shouldBeEmpty()
                fixture.board.hasLeft("desk") shouldBe true
            }
            it("is the same target under another address, in an entry of an earlier run and after its entry was gone") {
                val fixture = Fixture(a, b)
                fixture.leave(target("a", startedAt = 10))
                listOf(a, target("a", startedAt = 10).copy(address = "c:80")).forEach { again ->
                    fixture.listed = listOf(b)
                    fixture.board.retain(fixture.listed)
                    fixture.clock.advance(10.minutes)
                    fixture.listed = listOf(again, b)
                    fixture.board.eligible("desk").shouldContainExactly(b)
                }
            }
            it("is another target in a run that started after the response, but not in one that started before it") {
                listOf(MARKED_AT + 1 to false, MARKED_AT - 1 to true).forEach { (startedAt, departing) ->
                    val fixture = Fixture(a, b)
                    fixture.leave(a)
                    fixture.board.isDeparting(target("a", startedAt)) shouldBe departing
                }
            }
            it("is forgotten once it has not been listed for an hour") {
                val fixture = Fixture(a, b)
                fixture.leave(a)
                listOf(listOf(a, b) to true, listOf(b) to true, listOf(b) to false).forEach { (listed, departing) ->
                    fixture.clock.advance(30.minutes)
                    fixture.board.retain(listed)
                    fixture.board.isDeparting(a) shouldBe departing
                }
            }
        }

        describe("a response that says nothing about the target") {
            it("of another target at its address, or without the announcement, does not count") {
                listOf(head(status = 421), head(leaving = false)).forEach { head ->
                    val fixture = Fixture(a)
                    fixture.board.responseReceived(a, head, ExchangeKind.STATUS)
                    fixture.board.isDeparting(a) shouldBe false
                }
            }
        }

        describe("a request whose target departs") {
            // Guards against a send by a process that was paused after it had chosen the target.
            it("after it was chosen is not sent, also by a process that wakes after the allowed time") {
                val cases: List<Fixture.() -> Unit> = listOf(
                    { leave(a) },
                    {
                        leave(a)
                        clock.advance(1.hours)
                    },
                    {
                        listed = listOf(a)
                        leave(a)
                        clock.advance(allowance)
                    },
                )
                cases.forEach { pause ->
                    val fixture = Fixture(a, b)
                    fixture.targets.beforeSend = { fixture.pause() }
                    fixture.send(a).shouldBeInstanceOf<SendResult.NotRun>()
                    fixture.targets.beforeSend = {}
                    fixture.send(a).shouldBeInstanceOf<SendResult.NotRun>()
                    fixture.targets.requestedAddresses.shouldBeEmpty()
                }
            }
            it("in its response goes on, and the target gets no other, however the exchange ends") {
                val ends: List<suspend Fixture.() -> Unit> = listOf(
                    { send(a) shouldBe SendResult.Answered(Unit) },
                    { targets.behaviours["a:80"] = Behaviour.Response(500) },
                    { targets.behaviours["a:80"] = Behaviour.Response(503, notRun = true) },
                    { targets.behaviours["a:80"] = Behaviour.EventStream(breakAfter = 1) },
                    { targets.behaviours["a:80"] = Behaviour.MismatchedResponse() },
                    {
                        coroutineScope {
                            launch(start = CoroutineStart.UNDISPATCHED) {
                                send(a) { awaitCancellation() }
                            }.cancelAndJoin()
                        }
                    },
                )
                ends.forEach { end ->
                    val fixture = Fixture(a, b)
                    fixture.targets.leaving += "a:80"
                    fixture.end()
                    fixture.send(a)
                    fixture.targets.requestedAddresses shouldHaveSize 1
                    fixture.send(a).shouldBeInstanceOf<SendResult.NotRun>()
                    fixture.targets.requestedAddresses shouldHaveSize 1
                    fixture.recorded.single()["path"] shouldBe "item"
                }
            }
        }
    })
