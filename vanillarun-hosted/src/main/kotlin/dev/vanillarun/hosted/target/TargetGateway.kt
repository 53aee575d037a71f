package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.daemon.caller.BufferedBodies
import dev.vanillarun.daemon.target.BreakCause
import dev.vanillarun.daemon.target.ConnectionUse
import dev.vanillarun.daemon.target.ExchangeResult
import dev.vanillarun.daemon.target.StrayAnswer
import dev.vanillarun.daemon.target.StrayAnswerListener
import dev.vanillarun.daemon.target.StrayKind
import dev.vanillarun.daemon.target.TargetClient
import dev.vanillarun.daemon.target.TargetRequest
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/** Result of sending a request to a target. */
public sealed interface SendResult<out T> {
    /** The target ran the request and its response was handled. */
    public data class Answered<T>(
        /** Result of the response handler. */
        public val value: T,
    ) : SendResult<T>

    /** The target has not run the request and will not. */
    public data class NotRun(
        /** Cause, for events and refusals. */
        public val reason: String,
        /** True if another target responded at the address. */
        public val wrongTarget: Boolean,
        /** True if the target itself refused the request for lack of capacity. */
        public val refused: Boolean = false,
    ) : SendResult<Nothing>

    /** The target may have run the request. */
    public data class Unknown(
        /** Cause, for events and refusals. */
        public val reason: String,
        /** What the result tells about the target. */
        public val cause: BreakCause,
        /** Use of the connection on which the request was sent; null if unknown. */
        public val connection: ConnectionUse? = null,
    ) : SendResult<Nothing>
}

/** Sends requests to targets, checks that responses match them and records the observations. */
public class TargetGateway(
    private val client: TargetClient,
    private val dialect: TargetDialect,
    private val tracker: TargetTracker,
    private val departures: DepartureBoard,
    private val strays: StrayAnswerListener = StrayAnswerListener {},
    private val gates: TargetGates = TargetGates(),
    private val buffers: BufferedBodies = BufferedBodies(Runtime.getRuntime().maxMemory() / BUFFERS_OF_HEAP),
) {
    /** Bytes of responses that are being received whole; those that fit into a small buffer are not counted. */
    public val bufferedBytes: Long get() = buffers.bytes

    /** True if a request to [replica] needs no new connection. */
    public fun isWarm(replica: Replica): Boolean = client.isWarm(replica.address)

    /**
     * Sends [request] to [replica] and passes the response to [handle] if the target ran the request. A target that has
     * departed since it was chosen gets nothing.
     */
    public suspend fun <T> send(
        request: OutgoingRequest,
        replica: Replica,
        handle: suspend (OpenedResponse) -> T,
    ): SendResult<T> {
        val gated = request.gated
        val refusal = refusal(replica, gated)
        if (refusal != null) return SendResult.NotRun(refusal.reason, wrongTarget = false)
        var withheld: GateRefusal? = null
        val passage = GatePassage(gates, replica, gated)
        val outgoing = TargetRequest(
            method = request.method,
            url = "http://${replica.address}${request.uri}",
            headers = dialect.headers(request, replica),
            body = request.body,
            sendGuard = {
                withheld = departureRefusal(replica) ?: passage.enter()
                withheld == null
            },
            id = request.id,
        )
        var opened: OpenedResponse? = null
        tracker.requestStarted(replica)
        try {
            val exchange = client.exchange(outgoing) { answer ->
                val head = dialect.head(answer.status, answer.headers)
                if (head.answers(request.id)) passage.responded(head)
                validate(request, replica, OpenedResponse(head, answer, buffers).also { opened = it }, handle)
            }
            val last = withheld
            val result = if (last == null) toResult(exchange, replica) else SendResult.NotRun(last.reason, false)
            passage.end(if (last == null) requestResult(exchange, opened) else RequestResult.WITHHELD)
            return result
        } finally {
            passage.end(RequestResult.INCONCLUSIVE)
            tracker.requestEnded(replica)
        }
    }

    private fun refusal(replica: Replica, gated: GatedRequest): GateRefusal? =
        departureRefusal(replica) ?: gates.refusal(replica, gated)

    private fun departureRefusal(replica: Replica): GateRefusal? =
        if (departures.mayReceive(replica)) null else GateRefusal("the target is leaving")

    private suspend fun <T> validate(
        request: OutgoingRequest,
        replica: Replica,
        answer: OpenedResponse,
        handle: suspend (OpenedResponse) -> T,
    ): SendResult<T> {
        val head = answer.head
        departures.responseReceived(replica, head, request.kind)
        val isOwn = head.answers(request.id)
        // Without an id it may be a late one, unless nothing was sent on the connection before.
        val mayLackId = head.requestId == null && answer.connection?.exchange == 1
        if (head.wrongTarget && (isOwn || mayLackId)) {
            return SendResult.NotRun("another target answers", wrongTarget = true)
        }
        if (!isOwn) {
            val detail = "status ${head.status} to ${head.requestId ?: "no request"}"
            val kind = StrayKind.OTHER_REQUEST
            strays.received(StrayAnswer(replica.address, kind, answer.connection, request.id, detail))
            return SendResult.Unknown("an answer to another request", BreakCause.INVALID_ANSWER, answer.connection)
        }
        tracker.responseReceived(replica, head)
        if (!head.notRun) return SendResult.Answered(handle(answer))
        withTimeoutOrNull(REFUSAL_BODY_TIMEOUT) { answer.readBody(MAX_REFUSAL_BYTES) }
        return SendResult.NotRun("the target refused with ${head.status}", wrongTarget = false, refused = true)
    }

    private fun <T> toResult(result: ExchangeResult<SendResult<T>>, replica: Replica): SendResult<T> = when (result) {
        is ExchangeResult.Answered -> result.value.also { if (it is SendResult.NotRun) note(it, replica) }

        is ExchangeResult.NotSent -> SendResult.NotRun(
            result.reason,
            wrongTarget = false,
        ).also { tracker.failed(replica) }

        is ExchangeResult.Broken -> SendResult.Unknown(result.reason, result.cause, result.connection).also {
            tracker.failed(replica)
        }

        ExchangeResult.DeadConnection ->
            SendResult.Unknown("the connection is dead", BreakCause.CONNECTION_SILENT).also { tracker.failed(replica) }
    }

    private fun requestResult(exchange: ExchangeResult<SendResult<*>>, opened: OpenedResponse?) = when (exchange) {
        is ExchangeResult.Answered -> when (val result = exchange.value) {
            is SendResult.Answered -> opened?.result ?: RequestResult.ANSWERED
            is SendResult.NotRun -> if (result.wrongTarget) RequestResult.INCONCLUSIVE else RequestResult.REFUSED
            is SendResult.Unknown -> RequestResult.INCONCLUSIVE
        }

        is ExchangeResult.NotSent -> if (exchange.unreachable) RequestResult.FAILED else RequestResult.WITHHELD

        is ExchangeResult.Broken -> exchange.cause.result

        ExchangeResult.DeadConnection -> BreakCause.CONNECTION_SILENT.result
    }

    private fun note(refusal: SendResult.NotRun, replica: Replica) {
        if (refusal.wrongTarget) tracker.failed(replica) else tracker.overloaded(replica)
    }

    private companion object {
        /** Maximum size of a rejection body that is read to keep the connection reusable. */
        const val MAX_REFUSAL_BYTES = 64 * 1024

        /** Fraction of the heap that the buffers of responses may take: one in this many bytes. */
        const val BUFFERS_OF_HEAP = 8

        /** Maximum time for that; the head alone says that the request has not run. */
        val REFUSAL_BODY_TIMEOUT = 50.milliseconds
    }
}

/** What a request that broke off by this cause says about its target. */
internal val BreakCause?.result: RequestResult
    get() = if (this == BreakCause.CONNECTION_ENDED) RequestResult.FAILED else RequestResult.INCONCLUSIVE
