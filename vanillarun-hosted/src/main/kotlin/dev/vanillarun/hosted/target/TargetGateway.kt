package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.daemon.target.ExchangeResult
import dev.vanillarun.daemon.target.ResponseBody
import dev.vanillarun.daemon.target.TargetClient
import dev.vanillarun.daemon.target.TargetRequest
import io.ktor.http.Headers
import java.io.ByteArrayOutputStream

/** The beginning of an answer that belongs to its request. */
public class OpenedAnswer(
    /** Head. */
    public val head: AnswerHead,
    /** All headers. */
    public val headers: Headers,
    /** Body, read as it arrives. */
    public val body: ResponseBody,
)

/** How a request to a target went. */
public sealed interface Sent<out T> {
    /** The target answered. */
    public data class Answered<T>(
        /** What the handler made of the answer. */
        public val value: T,
    ) : Sent<T>

    /** The target has not run the request and will not. */
    public data class NotRun(
        /** What was seen. */
        public val reason: String,
        /** True if another target stands at the address, or none. */
        public val wrongTarget: Boolean,
    ) : Sent<Nothing>

    /** The target may have run the request. */
    public data class Unknown(
        /** What was seen. */
        public val reason: String,
    ) : Sent<Nothing>
}

/** Sends requests to targets and checks that answers belong to them. */
public class TargetGateway(
    private val client: TargetClient,
    private val dialect: TargetDialect,
    private val book: TargetBook,
) {
    /** True if a request to [replica] needs no new connection. */
    public fun isWarm(replica: Replica): Boolean = client.isWarm(replica.address)

    /** Sends [request] to [replica] and hands the answer to [handle] if the target ran it. */
    public suspend fun <T> send(
        request: OutgoingRequest,
        replica: Replica,
        handle: suspend (OpenedAnswer) -> T,
    ): Sent<T> {
        val outgoing = TargetRequest(
            method = request.method,
            url = "http://${replica.address}${request.uri}",
            headers = dialect.headers(request, replica),
            body = request.body,
        )
        book.began(replica)
        try {
            val exchange = client.exchange(outgoing) { answer ->
                val head = dialect.head(answer.status, answer.headers)
                checked(request, replica, OpenedAnswer(head, answer.headers, answer.body), handle)
            }
            return settled(exchange, replica)
        } finally {
            book.ended(replica)
        }
    }

    private suspend fun <T> checked(
        request: OutgoingRequest,
        replica: Replica,
        answer: OpenedAnswer,
        handle: suspend (OpenedAnswer) -> T,
    ): Sent<T> {
        val head = answer.head
        if (head.status == MISDIRECTED) return Sent.NotRun("another target answers", wrongTarget = true)
        if (head.requestId != request.id) return Sent.Unknown("an answer to another request")
        book.answered(replica, head)
        if (!head.notRun) return Sent.Answered(handle(answer))
        answer.body.readWhole(MAX_REFUSAL_BYTES)
        return Sent.NotRun("the target refused with ${head.status}", wrongTarget = false)
    }

    private fun <T> settled(exchange: ExchangeResult<Sent<T>>, replica: Replica): Sent<T> = when (exchange) {
        is ExchangeResult.Answered -> exchange.value.also { if (it is Sent.NotRun) note(it, replica) }
        is ExchangeResult.NotSent -> Sent.NotRun(exchange.reason, wrongTarget = false).also { book.failed(replica) }
        is ExchangeResult.Broken -> Sent.Unknown(exchange.reason).also { book.failed(replica) }
        ExchangeResult.DeadConnection -> Sent.Unknown("the connection is dead").also { book.failed(replica) }
    }

    private fun note(refusal: Sent.NotRun, replica: Replica) {
        if (refusal.wrongTarget) book.failed(replica) else book.full(replica)
    }

    private companion object {
        /** Status of an answer by another target than the one that was meant. */
        const val MISDIRECTED = 421

        /** Body of a refusal that is read so that its connection can be used again. */
        const val MAX_REFUSAL_BYTES = 64 * 1024
    }
}

/** The rest of the body; null if it broke off or is longer than [limit] bytes. */
public suspend fun ResponseBody.readWhole(limit: Int): ByteArray? {
    val whole = ByteArrayOutputStream()
    while (true) {
        when (val part = next()) {
            is BodyPart.Bytes -> whole.write(part.bytes)
            is BodyPart.End -> return if (part.clean) whole.toByteArray() else null
        }
        if (whole.size() > limit) return null
    }
}
