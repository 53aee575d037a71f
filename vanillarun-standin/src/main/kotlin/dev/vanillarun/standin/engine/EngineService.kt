package dev.vanillarun.standin.engine

import dev.vanillarun.standin.client.EntryAnswer
import dev.vanillarun.standin.client.EntryCall
import dev.vanillarun.standin.client.EntryPool
import dev.vanillarun.standin.http.Exchange
import dev.vanillarun.standin.http.Reply
import dev.vanillarun.standin.http.presents
import dev.vanillarun.standin.http.wireJson
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The engine's calls around generation: load, models, orders, prefix cache. */
internal class EngineService(
    private val settings: EngineSettings,
    private val loop: GenerationLoop,
    private val state: EngineState,
    private val scope: CoroutineScope,
) {
    private val store = settings.weights.takeIf { it.isNotEmpty() }?.let { EntryPool(listOf(it), SWAP_TIMEOUT) }
    private val orders = Mutex()
    private val done = HashSet<String>()
    private var highestTerm = Long.MIN_VALUE

    fun load(): Reply {
        val load = loop.reportedLoad()
        val answer =
            LoadAnswer(
                version = loop.version,
                role = state.role.wire,
                running = load.running * settings.loadReportPercent / PERCENT,
                waiting = load.waiting * settings.loadReportPercent / PERCENT,
                kvUsed = load.kvUsed,
                kvTotal = settings.cachePrefixes,
                tokensPerSecond = settings.speed.tokensPerSecond.toLong(),
                ageMs = System.nanoTime() / NANOS_PER_MILLI - load.atMs,
            )
        return Reply.Whole(body = wireJson.encodeToString(answer))
    }

    fun models(): Reply = Reply.Whole(body = wireJson.encodeToString(ModelsAnswer(state.models.map { ModelEntry(it) })))

    suspend fun order(exchange: Exchange): Reply {
        if (!exchange.presents(settings.credential)) return Reply.refusal(UNAUTHORIZED, "wrong target credential")
        val order = wireJson.decodeFromString(EngineOrder.serializer(), exchange.body)
        return scope.async { orders.withLock { obey(order, exchange) } }.await()
    }

    fun cacheEvents(exchange: Exchange): Reply {
        val from = exchange.parameters["from"]?.toLongOrNull() ?: 0
        val events = loop.cacheEvents(from)
        val next = events.lastOrNull()?.seq?.plus(1) ?: from
        return Reply.Whole(body = wireJson.encodeToString(CacheEventsAnswer(events, next)))
    }

    fun exportKv(exchange: Exchange): Reply {
        val prefix = exchange.parameters["prefix"].orEmpty()
        val prompt = loop.exportPrefix(prefix) ?: return Reply.refusal(NOT_FOUND, "prefix is not cached")
        return Reply.Whole(body = wireJson.encodeToString(KvCache(prefix, prompt)))
    }

    fun importKv(exchange: Exchange): Reply {
        loop.importPrefix(wireJson.decodeFromString(KvCache.serializer(), exchange.body).prompt)
        exchange.tookEffect()
        return Reply.Whole()
    }

    private suspend fun obey(order: EngineOrder, exchange: Exchange): Reply {
        order.problem()?.let { return Reply.refusal(BAD_REQUEST, it) }
        if (settings.fenced && order.term < highestTerm) return Reply.refusal(CONFLICT, "term ${order.term} is old")
        highestTerm = maxOf(highestTerm, order.term)
        if (!done.add(order.id)) return Reply.Whole()
        exchange.tookEffect()
        when (order.kind) {
            "load_weights" -> if (!swap(order.version)) return failed(order)
            "load_adapter" -> state.loadAdapter(order.adapter)
            "set_role" -> EngineRole.of(order.role)?.let { state.role = it }
        }
        return Reply.Whole()
    }

    private fun failed(order: EngineOrder): Reply {
        done.remove(order.id)
        return Reply.refusal(BAD_GATEWAY, "the swap failed")
    }

    private suspend fun swap(version: Long): Boolean {
        if (!download(version)) return false
        delay(settings.swapMs.milliseconds)
        loop.version = version
        return true
    }

    private suspend fun download(version: Long): Boolean {
        val pool = store ?: return true
        if (version == loop.version) return true
        val answer = pool.call(EntryCall(HttpMethod.Get, "/v1/weights/$version"))
        return answer is EntryAnswer.Answered && answer.status == Reply.OK
    }

    private fun EngineOrder.problem(): String? = when (kind) {
        "load_weights" -> null
        "load_adapter" -> "adapter is missing".takeIf { adapter.isEmpty() }
        "set_role" -> "there is no role $role".takeIf { EngineRole.of(role) == null }
        else -> "there is no order $kind"
    }

    private companion object {
        const val PERCENT = 100
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val BAD_GATEWAY = 502
        val SWAP_TIMEOUT = 10.seconds
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
