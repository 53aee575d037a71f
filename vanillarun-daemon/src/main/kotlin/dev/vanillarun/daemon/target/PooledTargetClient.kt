package dev.vanillarun.daemon.target

import io.ktor.http.HeadersBuilder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asExecutor
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.future.await
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.ByteBuffer
import java.nio.channels.UnresolvedAddressException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.Flow
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration

/**
 * [TargetClient] over the client of the JDK, which keeps connections open between exchanges.
 *
 * Unlike Ktor's own engine it reports a chunked answer that ends at the border of a chunk as broken.
 */
public class PooledTargetClient(
    private val connectTimeout: Duration = 1.seconds,
    private val freshFor: Duration = 500.milliseconds,
) : TargetClient {
    private class Generation(val client: HttpClient, val since: TimeMark)

    private val lasting = AtomicReference(generation())
    private val fresh = AtomicReference(generation())

    /** Lets no further exchange go out on a connection that is open now. Exchanges in progress go on. */
    public fun dropConnections() {
        lasting.set(generation())
        fresh.set(generation())
    }

    override suspend fun <T> exchange(
        request: TargetRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> {
        val client = if (request.freshConnection) freshClient() else lasting.get().client
        val pump = BodyPump()
        val response = try {
            client.sendAsync(request.toJdk()) { pump }.awaitOrAbort()
        } catch (e: ConnectException) {
            return ExchangeResult.NotSent(e.summary())
        } catch (e: HttpConnectTimeoutException) {
            return ExchangeResult.NotSent(e.summary())
        } catch (e: UnresolvedAddressException) {
            return ExchangeResult.NotSent(e.summary())
        } catch (e: IOException) {
            return ExchangeResult.Broken(e.summary())
        }
        return try {
            ExchangeResult.Answered(handle(TargetResponse(response.statusCode(), response.ktorHeaders(), pump)))
        } finally {
            pump.cancel()
        }
    }

    private fun freshClient(): HttpClient {
        val known = fresh.get()
        if (known.since.elapsedNow() < freshFor) return known.client
        val next = generation()
        return if (fresh.compareAndSet(known, next)) next.client else fresh.get().client
    }

    private fun generation() = Generation(
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .connectTimeout(connectTimeout.toJavaDuration())
            .executor(Dispatchers.Default.asExecutor())
            .build(),
        TimeSource.Monotonic.markNow(),
    )

    private fun TargetRequest.toJdk(): HttpRequest {
        val publisher = when {
            body.isEmpty() -> HttpRequest.BodyPublishers.noBody()
            else -> HttpRequest.BodyPublishers.ofByteArray(body)
        }
        val builder = HttpRequest.newBuilder(URI.create(url)).method(method, publisher)
        headers.forEach { name, values -> values.forEach { builder.header(name, it) } }
        contentType?.let { builder.header("Content-Type", it.toString()) }
        return builder.build()
    }

    private fun HttpResponse<*>.ktorHeaders() = HeadersBuilder().also { kept ->
        headers().map().forEach { (name, values) -> if (!name.startsWith(":")) kept.appendAll(name, values) }
    }.build()

    private fun Throwable.summary(): String = "${this::class.simpleName}: ${message.orEmpty()}"

    override fun close(): Unit = Unit
}

/**
 * Waits for the head of the answer; cancelling the wait closes the connection.
 *
 * The client of the JDK gives an exchange up only on a cancellation that may interrupt, which the coroutine library's
 * own `await` does not ask for.
 */
private suspend fun <T> CompletableFuture<T>.awaitOrAbort(): T = try {
    await()
} catch (e: CancellationException) {
    cancel(true)
    throw e
}

/** Hands the body on part by part, asking the connection for the next one only when the last was taken. */
private class BodyPump :
    HttpResponse.BodySubscriber<Unit>,
    ResponseBody {
    private val parts = Channel<ByteArray>(Channel.UNLIMITED)

    @Volatile
    private var subscription: Flow.Subscription? = null

    override fun getBody(): CompletionStage<Unit> = CompletableFuture.completedFuture(Unit)

    override fun onSubscribe(subscription: Flow.Subscription) {
        this.subscription = subscription
        subscription.request(1)
    }

    override fun onNext(items: List<ByteBuffer>) {
        val bytes = ByteArray(items.sumOf { it.remaining() })
        var at = 0
        items.forEach { item ->
            val count = item.remaining()
            item.get(bytes, at, count)
            at += count
        }
        parts.trySend(bytes)
    }

    override fun onError(cause: Throwable) {
        parts.close(cause)
    }

    override fun onComplete() {
        parts.close()
    }

    override suspend fun next(): BodyPart {
        val received = parts.receiveCatching()
        val bytes = received.getOrNull() ?: return BodyPart.End(clean = received.exceptionOrNull() == null)
        subscription?.request(1)
        return BodyPart.Bytes(bytes)
    }

    fun cancel() {
        subscription?.cancel()
    }
}
