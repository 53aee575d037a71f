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
 * [TargetClient] over the JDK's HTTP client, which pools connections.
 *
 * Unlike Ktor's own engine it reports a chunked response that ends at a chunk boundary without its last chunk as
 * broken.
 */
public class PooledTargetClient(
    private val connectTimeout: Duration = 1.seconds,
    private val freshClientLifetime: Duration = 500.milliseconds,
) : TargetClient {
    private class ClientEntry(val client: HttpClient, val createdAt: TimeMark)

    private val longLived = AtomicReference(newClient())
    private val fresh = AtomicReference(newClient())

    /** Stops the reuse of all connections open now. Exchanges in flight continue. */
    public fun dropConnections() {
        longLived.set(newClient())
        fresh.set(newClient())
    }

    override suspend fun <T> exchange(
        request: TargetRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> =
        if (request.sendGuard.permits()) send(request, handle) else ExchangeResult.NotSent("withheld by its guard")

    private suspend fun <T> send(request: TargetRequest, handle: suspend (TargetResponse) -> T): ExchangeResult<T> {
        val client = if (request.freshConnection) freshClient() else longLived.get().client
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
        val current = fresh.get()
        if (current.createdAt.elapsedNow() < freshClientLifetime) return current.client
        val next = newClient()
        return if (fresh.compareAndSet(current, next)) next.client else fresh.get().client
    }

    private fun newClient() = ClientEntry(
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
 * Waits for the status and headers of the response; cancellation closes the connection.
 *
 * The JDK's client aborts an exchange only on `cancel(true)`, and the `await` of kotlinx.coroutines cancels without
 * interruption.
 */
private suspend fun <T> CompletableFuture<T>.awaitOrAbort(): T = try {
    await()
} catch (e: CancellationException) {
    cancel(true)
    throw e
}

/** Delivers the body part by part and requests the next one only after the last was consumed (backpressure). */
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
        var offset = 0
        items.forEach { item ->
            val count = item.remaining()
            item.get(bytes, offset, count)
            offset += count
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
