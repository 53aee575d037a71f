package dev.vanillarun.daemon.target

import dev.vanillarun.core.answer.AnswerIdentity
import dev.vanillarun.core.answer.StatusLineSearch
import dev.vanillarun.core.answer.leadsToRepetition
import dev.vanillarun.core.answer.mayBeCopy
import dev.vanillarun.core.answer.repeatedField
import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred
import java.io.IOException
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel as Queue

/** Result of waiting for the status line and headers of a response. */
internal sealed interface HeadReadResult {
    /** The final status and headers arrived. */
    class Received(val status: Int, val headers: Headers) : HeadReadResult

    /** The exchange failed before the headers arrived. */
    class Broken(val reason: String, val cause: BreakCause) : HeadReadResult
}

/**
 * One HTTP request and its response on a connection. A response that is the same as one of [earlier] is kept back for
 * [copyWait], and is the response only if no other follows it.
 */
internal class NettyExchange(
    private val channel: Channel,
    private val singleFields: Set<String> = emptySet(),
    private val earlier: Set<AnswerIdentity> = emptySet(),
    private val copyWait: Duration = Duration.ZERO,
) : ResponseBody {
    private val head = CompletableDeferred<HeadReadResult>()
    private val parts = Queue<ByteArray>(Queue.UNLIMITED)
    private val buffered = AtomicInteger()
    private var written: ChannelFuture? = null
    private var statusLines = StatusLineSearch()
    private var interim = false
    private var status = 0
    private var endsWithConnection = false
    private var held: HeldAnswer? = null

    /** Whole response that was kept back before [held], until that one is whole as well. */
    private var spare: HeldAnswer? = null
    private var waits = 0
    private var headText = ""
    private var digest: MessageDigest? = null

    /** Status and bytes of a failure of the target; null until it is complete, and for other responses. */
    @Volatile
    var identity: AnswerIdentity? = null
        private set

    /** True if a whole response is kept back, as another may count in its place. */
    val holdsWhole: Boolean get() = held?.isWhole == true

    /** True if the response of which [messages] are the last may be kept back until another follows. */
    fun mayHold(messages: List<Any>): Boolean {
        val decoded = messages.firstNotNullOfOrNull { it as? HttpResponse }?.status()?.code() ?: status
        return !finished && earlier.isNotEmpty() && leadsToRepetition(decoded)
    }

    @Volatile
    private var finished = false

    @Volatile
    private var consumed = false

    @Volatile
    private var keepAlive = false

    @Volatile
    private var excess: String? = null

    /** True if more than the answer that was passed on has been received. */
    @Volatile
    private var isFollowed = false

    /** Idle timeout from the server's `Keep-Alive` header; null if it sent none. */
    @Volatile
    var idleTimeout: Duration? = null
        private set

    /** Use of the connection by this exchange; null before [send]. */
    @Volatile
    var connection: ConnectionUse? = null
        private set

    /** Id of the request; null before [send], or if it has none. */
    @Volatile
    var requestId: String? = null
        private set

    /** Method of the request; null before [send]. */
    @Volatile
    var method: String? = null
        private set

    /** Why the exchange failed first; null unless [fail] was called. */
    @Volatile
    var failure: HeadReadResult.Broken? = null
        private set

    /** True until the response is complete. */
    val isOpen: Boolean get() = !finished

    /** Bytes of the body that were received and not yet read by [next]. */
    val bufferedBytes: Int get() = buffered.get()

    /**
     * True if the request was written and the response read completely, nothing followed it, and both sides keep the
     * connection open.
     */
    val isReusable: Boolean
        get() = finished && consumed && keepAlive && !isFollowed && excess == null &&
            written?.isSuccess == true && channel.isActive

    /**
     * Sends [request] with [id] and routes what the channel receives to this exchange; false if the channel was closed
     * before, so that nothing is sent.
     */
    fun send(request: FullHttpRequest, id: String? = null): Boolean {
        val handler = channel.exchanges() ?: return false
        requestId = id
        method = request.method().name()
        connection = handler.begin(this, channel)
        channel.config().isAutoRead = true
        written = channel.writeAndFlush(request).addListener { sent ->
            sent.cause()?.let { fail(it.summary(), it.breakCause()) }
        }
        if (!channel.isActive) fail("the connection is closed", BreakCause.CONNECTION_ENDED)
        return true
    }

    /** Waits for the status and headers of the response. */
    suspend fun head(): HeadReadResult = head.await()

    override suspend fun next(): BodyPart {
        val received = parts.receiveCatching()
        val bytes = received.getOrNull()
        if (bytes == null) {
            consumed = true
            val isClean = received.exceptionOrNull() == null
            return if (isClean) BodyPart.End(clean = true) else BodyPart.End(clean = false, failure?.cause)
        }
        if (buffered.addAndGet(-bytes.size) < READ_RESUME_BYTES) channel.config().isAutoRead = true
        return BodyPart.Bytes(bytes)
    }

    /** Processes a message from the channel; false if the response was already complete. */
    fun received(message: HttpObject): Boolean {
        if (finished) return false
        if (message.decoderResult().isFailure) {
            // The codec reports it with a last content, but the connection is at no message boundary.
            val cause = message.decoderResult().cause()
            fail("not HTTP: ${cause.summary()}", cause.breakCause())
            return false
        }
        val repeated = (message as? HttpResponse)?.let { response ->
            repeatedField(response.headers().map { it.key }, singleFields)
        }
        if (repeated != null) {
            fail("not HTTP: $repeated", BreakCause.INVALID_ANSWER)
            return false
        }
        if (message is HttpResponse) onHead(message)
        if (message is HttpContent && !interim) onContent(message)
        if (message is LastHttpContent) {
            if (!interim) onEnd()
            interim = false
        }
        return true
    }

    private fun onHead(response: HttpResponse) {
        interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (interim) return
        status = response.status().code()
        digest = if (leadsToRepetition(status)) MessageDigest.getInstance("SHA-256") else null
        digest?.update(headText.toByteArray(Charsets.ISO_8859_1))
        keepAlive = HttpUtil.isKeepAlive(response)
        endsWithConnection = !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)
        val headers = HeadersBuilder()
        response.headers().forEach { headers.append(it.key, it.value) }
        idleTimeout = response.headers().get("Keep-Alive")?.let { TimeoutParameter.find(it) }
            ?.groupValues?.get(1)?.toIntOrNull()?.seconds
        val received = HeadReadResult.Received(status, headers.build())
        val before = wholeAnswer
        isFollowed = false
        val mayBeCopy = earlier.isNotEmpty() && leadsToRepetition(status)
        held = if (mayBeCopy) HeldAnswer(received) else null
        spare = before.takeIf { mayBeCopy }
        if (!mayBeCopy) head.complete(received)
        spare?.let(::await)
    }

    /** Takes the bytes of the head, [text], before the head itself. */
    fun onHeadBytes(text: String) {
        isFollowed = wholeAnswer != null
        excess = null
        statusLines = StatusLineSearch()
        headText = text
    }

    private val wholeAnswer: HeldAnswer? get() = held?.takeIf { it.isWhole } ?: spare

    private fun pass(answer: HeldAnswer) {
        // What followed a whole answer may go on, so that the connection is at no message boundary.
        if (answer === spare) isFollowed = true
        held = null
        spare = null
        head.complete(answer.head)
        answer.parts.forEach(::addPart)
        if (answer.isWhole) finish()
    }

    /** Keeps [answer] back until another follows or [copyWait] has passed; only the last call counts. */
    private fun await(answer: HeldAnswer) {
        val wait = ++waits
        val end = { if (wait == waits && wholeAnswer === answer) pass(answer) }
        channel.eventLoop().schedule(end, copyWait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun onContent(message: HttpContent) {
        val buffer = message.content()
        if (!buffer.isReadable) return
        val bytes = ByteArray(buffer.readableBytes())
        buffer.readBytes(bytes)
        statusLines.feed(bytes.toString(Charsets.ISO_8859_1))
        digest?.update(bytes)
        val answer = held ?: return addPart(bytes)
        answer.parts += bytes
        if (answer.size > MAX_HELD_BYTES) pass(answer)
    }

    private fun addPart(bytes: ByteArray) {
        parts.trySend(bytes)
        if (buffered.addAndGet(bytes.size) > READ_PAUSE_BYTES) channel.config().isAutoRead = false
    }

    /**
     * True if the body may hold another response: if a target cuts a response in its body and sends another, that one
     * fills the length, with more bytes after it, or lasts until the connection ends.
     */
    private val holdsAnother: Boolean
        get() = if (endsWithConnection) statusLines.found else excess?.let(statusLines::foundBefore) == true

    private fun onEnd() {
        if (holdsAnother) return fail("the body may hold another response", BreakCause.INVALID_ANSWER)
        identity = digest?.let { AnswerIdentity(status, HexFormat.of().formatHex(it.digest())) }
        val answer = held ?: return finish()
        answer.isWhole = true
        spare = null
        if (identity?.mayBeCopy(earlier) == true) await(answer) else pass(answer)
    }

    private fun finish() {
        finished = true
        parts.close()
    }

    /** Records that [bytes] were received after the response; to be called before its end is. */
    fun onExcess(bytes: String) {
        excess = bytes
    }

    /**
     * Fails the exchange: a reader of the head or the body sees [reason] and [cause], unless it has failed before. A
     * whole response that is kept back is passed on instead.
     */
    fun fail(reason: String, cause: BreakCause) {
        val answer = wholeAnswer
        if (answer != null) {
            isFollowed = true
            return pass(answer)
        }
        val broken = failure ?: HeadReadResult.Broken(reason, cause).also { failure = it }
        head.complete(broken)
        parts.close(IOException(reason))
    }

    private companion object {
        val TimeoutParameter = Regex("timeout=(\\d+)")

        /** Largest body that is kept back, in bytes; failures say little. */
        const val MAX_HELD_BYTES = 64 * 1024

        /** Buffered bytes above which the channel stops reading, and below which it reads again. */
        const val READ_PAUSE_BYTES = 256 * 1024
        const val READ_RESUME_BYTES = 64 * 1024
    }
}

internal fun Throwable.summary(): String = "${this::class.simpleName}: ${message.orEmpty()}"
