package dev.vanillarun.hosted.fake

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.job.SampleEvent
import dev.vanillarun.daemon.target.AnswerBody
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.daemon.target.Exchange
import dev.vanillarun.daemon.target.TargetAnswer
import dev.vanillarun.daemon.target.TargetClient
import dev.vanillarun.daemon.target.TargetRequest
import dev.vanillarun.hosted.target.AnswerHead
import dev.vanillarun.hosted.target.OutgoingRequest
import dev.vanillarun.hosted.target.TargetDialect
import io.ktor.http.Headers
import io.ktor.http.headersOf
import kotlinx.coroutines.awaitCancellation
import java.util.concurrent.CopyOnWriteArrayList

/** What a target does with a request. */
sealed interface Behaviour {
    /** Answers with [status]. */
    data class Answers(val status: Int = 200, val notRun: Boolean = false) : Behaviour

    /** Answers with a stream of [events] events, from where it is asked to; breaks off after [breakAfter]. */
    data class Streams(val events: Long = 5, val breakAfter: Long? = null, val signature: String = "s") : Behaviour

    /** Answers to another request. */
    data object Crosses : Behaviour

    /** Breaks off before an answer. */
    data object Breaks : Behaviour

    /** Is never heard of. */
    data object IsSilent : Behaviour

    /** Cannot be reached. */
    data object IsGone : Behaviour
}

/** Targets in memory, by address, and the speech they understand. */
class FakeTargets :
    TargetClient,
    TargetDialect {
    val behaviours = HashMap<String, Behaviour>()

    /** Addresses that were sent to, in order. */
    val sent = CopyOnWriteArrayList<String>()

    override suspend fun <T> exchange(request: TargetRequest, handle: suspend (TargetAnswer) -> T): Exchange<T> {
        val address = request.url.substringAfter("//").substringBefore('/')
        sent += address
        val id = request.headers["id"].orEmpty()
        return when (val behaviour = behaviours[address] ?: Behaviour.Answers()) {
            is Behaviour.Answers -> Exchange.Answered(handle(answer(behaviour.status, id, behaviour.notRun)))
            is Behaviour.Streams -> Exchange.Answered(handle(stream(behaviour, request.headers)))
            Behaviour.Crosses -> Exchange.Answered(handle(answer(200, "other", notRun = false)))
            Behaviour.Breaks -> Exchange.Broken("broke off")
            Behaviour.IsSilent -> awaitCancellation()
            Behaviour.IsGone -> Exchange.NotSent("refused")
        }
    }

    private fun answer(status: Int, id: String, notRun: Boolean): TargetAnswer {
        val parts = ArrayDeque(listOf<BodyPart>(BodyPart.Bytes("body".encodeToByteArray())))
        val headers = headersOf("id" to listOf(id), "signature" to listOf("s"), "notRun" to listOf("$notRun"))
        return TargetAnswer(status, headers, AnswerBody { parts.removeFirstOrNull() ?: BodyPart.End(clean = true) })
    }

    private fun stream(behaviour: Behaviour.Streams, asked: Headers): TargetAnswer {
        val first = (asked["after"]?.toLong() ?: 0) + 1
        val last = behaviour.breakAfter ?: behaviour.events
        val parts = ArrayDeque((first..last).map<Long, BodyPart> { BodyPart.Bytes("id: $it\n\n".encodeToByteArray()) })
        parts += BodyPart.End(clean = behaviour.breakAfter == null)
        val headers = headersOf("id" to listOf(asked["id"].orEmpty()), "signature" to listOf(behaviour.signature))
        return TargetAnswer(200, headers, AnswerBody { parts.removeFirst() })
    }

    override fun headers(request: OutgoingRequest, replica: Replica): Headers =
        headersOf("id" to listOf(request.id), "after" to listOf("${request.resumeAfter ?: 0}"))

    override fun head(status: Int, headers: Headers) = AnswerHead(
        status = status,
        requestId = headers["id"],
        signature = headers["signature"],
        notRun = headers["notRun"] == "true",
        weights = null,
        load = null,
    )

    override fun event(text: String): SampleEvent? =
        text.trim().removePrefix("id: ").toLongOrNull()?.let { SampleEvent(it, "") }

    override fun close() = Unit
}
