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

    override fun headers(request: OutgoingRequest, replica: Replica): Headers = headersOf("id", request.id)

    override fun head(status: Int, headers: Headers) = AnswerHead(
        status = status,
        requestId = headers["id"],
        signature = headers["signature"],
        notRun = headers["notRun"] == "true",
        weights = null,
        load = null,
    )

    override fun event(text: String): SampleEvent? = null

    override fun close() = Unit
}
