package dev.vanillarun.adapters.platform

import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import io.ktor.client.HttpClient
import io.ktor.client.request.parameter
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerializationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * HTTP client for the platform's log.
 *
 * An append is refused if it fails before the connection is established or gets one of [refusalStatuses]; after any
 * other failure it is in doubt.
 *
 * ```
 * val log = HttpPlatformLog(platformHttpClient(), "http://127.0.0.1:7000")
 * log.read(setOf(StreamName.Config), from = Offset.Start)
 * ```
 *
 * @param base base URL of the platform, for instance `http://127.0.0.1:7000`
 * @param timeout limit for a call; the long-poll wait of a read is added to it
 */
public class HttpPlatformLog(
    private val client: HttpClient,
    private val base: String,
    private val timeout: Duration = 5.seconds,
) : PlatformLog {
    override suspend fun append(records: List<NewRecord>): AppendResult {
        val body = AppendRequestJson(records.map { NewRecordJson(it.stream.value, it.payload) })
        val text = platformJson.encodeToString(AppendRequestJson.serializer(), body)
        return when (val exchange = client.exchange(HttpMethod.Post, "$base/v1/log/append", timeout, text)) {
            is ExchangeResult.NotSent -> AppendResult.Refused(exchange.reason, DEFAULT_RETRY_AFTER)
            is ExchangeResult.Withheld -> AppendResult.Refused("withheld", DEFAULT_RETRY_AFTER)
            is ExchangeResult.Incomplete -> AppendResult.InDoubt(exchange.reason)
            is ExchangeResult.Response -> exchange.toAppendResult()
        }
    }

    private fun ExchangeResult.Response.toAppendResult(): AppendResult = when (status) {
        HttpStatusCode.OK.value ->
            decodeOrNull { AppendResult.Appended(Offset(platformJson.decodeFromString<AppendResultJson>(body).first)) }
                ?: AppendResult.InDoubt("response is not an append result")

        in refusalStatuses -> AppendResult.Refused("status $status", retryAfter)

        else -> AppendResult.InDoubt("status $status")
    }

    override suspend fun read(streams: Set<StreamName>, from: Offset, limit: Int, wait: Duration): ReadResult {
        val exchange = client.exchange(HttpMethod.Get, "$base/v1/log/read", timeout + wait) {
            streams.forEach { parameter("stream", it.value) }
            parameter("from", from.value)
            parameter("limit", limit)
            parameter("wait_ms", wait.inWholeMilliseconds)
        }
        return when (exchange) {
            is ExchangeResult.NotSent -> ReadResult.Unavailable(exchange.reason)
            is ExchangeResult.Withheld -> ReadResult.Unavailable("withheld")
            is ExchangeResult.Incomplete -> ReadResult.Unavailable(exchange.reason)
            is ExchangeResult.Response -> exchange.toReadResult()
        }
    }

    private fun ExchangeResult.Response.toReadResult(): ReadResult = when (status) {
        HttpStatusCode.OK.value -> decodeOrNull { platformJson.decodeFromString<PageJson>(body).toPage() }

        HttpStatusCode.Gone.value ->
            decodeOrNull {
                ReadResult.Truncated(Offset(platformJson.decodeFromString<TruncationJson>(body).firstRetained))
            }

        else -> ReadResult.Unavailable("status $status")
    } ?: ReadResult.Unavailable("response is not a page of records")

    private fun PageJson.toPage() = ReadResult.Page(
        records = records.map { StoredRecord(Offset(it.offset), StreamName(it.stream), it.payload) },
        next = Offset(next),
        firstRetained = Offset(firstRetained),
        end = Offset(end),
    )
}

/** Status codes that guarantee that the request had no effect. */
internal val refusalStatuses: Set<Int> =
    setOf(HttpStatusCode.TooManyRequests.value, HttpStatusCode.ServiceUnavailable.value)

/** The result of [block], or null if the body that it decodes does not match the protocol. */
internal fun <T : Any> decodeOrNull(block: () -> T): T? = try {
    block()
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}
