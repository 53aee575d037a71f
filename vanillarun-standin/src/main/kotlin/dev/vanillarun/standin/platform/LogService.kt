package dev.vanillarun.standin.platform

import dev.vanillarun.standin.http.Exchange
import dev.vanillarun.standin.http.Reply
import dev.vanillarun.standin.http.wireJson
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.milliseconds

@Serializable
private data class AppendRequest(val records: List<LogEntry>)

@Serializable
private data class AppendAnswer(val first: Long)

/** The log's two calls. */
internal class LogService(retention: Retention, private val rate: RateLimit, private val nowMs: () -> Long) {
    private val store = LogStore(retention)
    private val end = MutableStateFlow(0L)

    fun append(exchange: Exchange): Reply {
        val request = wireJson.decodeFromString(AppendRequest.serializer(), exchange.body)
        if (!rate.allow(
                System.nanoTime(),
            )
        ) {
            return Reply.refusal(TOO_MANY, "append rate exceeded", retryAfterSeconds = 1)
        }
        val first = synchronized(store) { store.append(request.records, nowMs()) }
        exchange.tookEffect()
        end.value = synchronized(store) { store.end }
        return Reply.Whole(body = wireJson.encodeToString(AppendAnswer(first)))
    }

    suspend fun read(exchange: Exchange): Reply {
        val from = exchange.parameters["from"]?.toLongOrNull() ?: 0
        val limit = exchange.parameters["limit"]?.toIntOrNull() ?: DEFAULT_LIMIT
        val streams = exchange.streams()
        val wait = (exchange.parameters["wait_ms"]?.toLongOrNull() ?: 0).coerceIn(0, MAX_WAIT_MILLIS).milliseconds
        val page = withTimeoutOrNull(wait) { awaitRecords(from, streams, limit) } ?: page(from, streams, limit)
        return when (page) {
            is LogPage.Records -> Reply.Whole(body = wireJson.encodeToString(page))
            is LogPage.Gone -> Reply.Whole(status = GONE, body = wireJson.encodeToString(page))
        }
    }

    private suspend fun awaitRecords(from: Long, streams: Set<String>?, limit: Int): LogPage {
        var position = from
        while (true) {
            val page = page(position, streams, limit)
            if (page !is LogPage.Records || page.records.isNotEmpty()) return page
            position = page.next
            end.first { it > page.end }
        }
    }

    private fun page(from: Long, streams: Set<String>?, limit: Int): LogPage =
        synchronized(store) { store.read(from, streams, limit, nowMs()) }

    private fun Exchange.streams(): Set<String>? = parameters["stream"]
        ?.split(STREAM_SEPARATOR)
        ?.toSet()
        ?.takeUnless { "*" in it }

    companion object {
        /** Separates repeated parameters. */
        const val STREAM_SEPARATOR = '\n'
        const val DEFAULT_LIMIT = 500
        const val MAX_WAIT_MILLIS = 60_000L
        const val TOO_MANY = 429
        const val GONE = 410
    }
}
