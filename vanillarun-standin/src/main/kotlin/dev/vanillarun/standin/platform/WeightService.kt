package dev.vanillarun.standin.platform

import dev.vanillarun.standin.http.Exchange
import dev.vanillarun.standin.http.Reply
import dev.vanillarun.standin.http.wireJson
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentSkipListSet

@Serializable
private data class WeightVersionBody(val version: Long)

@Serializable
private data class WeightList(val newest: Long, val versions: List<Long>)

/** The weight store: versions that trainers publish, downloads limited in rate. */
internal class WeightService(firstVersion: Long, private val rate: RateLimit) {
    private val versions = ConcurrentSkipListSet(listOf(firstVersion))

    fun list(): Reply = Reply.Whole(body = wireJson.encodeToString(WeightList(versions.last(), versions.toList())))

    fun download(exchange: Exchange): Reply {
        val version = exchange.parameters["version"]?.toLongOrNull()
        if (version == null || version !in versions) return Reply.refusal(NOT_FOUND, "no such version")
        if (!rate.allow(
                System.nanoTime(),
            )
        ) {
            return Reply.refusal(TOO_MANY, "weight rate exceeded", retryAfterSeconds = 1)
        }
        exchange.tookEffect()
        return Reply.Whole(body = wireJson.encodeToString(WeightVersionBody(version)))
    }

    fun publish(exchange: Exchange): Reply {
        versions.add(wireJson.decodeFromString(WeightVersionBody.serializer(), exchange.body).version)
        exchange.tookEffect()
        return list()
    }

    private companion object {
        const val NOT_FOUND = 404
        const val TOO_MANY = 429
    }
}
