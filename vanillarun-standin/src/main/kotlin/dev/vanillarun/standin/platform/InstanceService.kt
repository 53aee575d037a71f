package dev.vanillarun.standin.platform

import dev.vanillarun.standin.http.Exchange
import dev.vanillarun.standin.http.Reply
import dev.vanillarun.standin.http.wireJson
import dev.vanillarun.standin.lag.Lagging
import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

@Serializable
private data class InstancesAnswer(
    val ageMs: Long,
    val instances: List<ListedInstance>,
    val targets: List<ListedTarget>,
)

/** The calls around the list of instances and targets. */
internal class InstanceService(private val lagMs: Long, private val nowMs: () -> Long) {
    private val list = Lagging(lagMs, Membership())

    /** The list, or only that it is the one which the caller has. */
    fun read(exchange: Exchange): Reply {
        val seen = synchronized(list) { list.seen(nowMs()) }
        val answer = InstancesAnswer(lagMs, seen.instances.values.toList(), seen.targets.values.toList())
        val body = wireJson.encodeToString(answer)
        val digest = MessageDigest.getInstance("SHA-256").digest(body.encodeToByteArray())
        val tag = "\"${HexFormat.of().formatHex(digest)}\""
        if (exchange.header("If-None-Match") == tag) return Reply.Whole(status = NOT_MODIFIED, body = "")
        return Reply.Whole(body = body, headers = mapOf("ETag" to tag))
    }

    fun announce(exchange: Exchange): Reply = change(exchange) { id ->
        val instance = wireJson.decodeFromString(ListedInstance.serializer(), exchange.body).copy(id = id)
        copy(instances = instances.put(id, instance))
    }

    fun withdraw(exchange: Exchange): Reply = change(exchange) { id -> copy(instances = instances.remove(id)) }

    fun announceTarget(exchange: Exchange): Reply = change(exchange) { id ->
        val target = wireJson.decodeFromString(ListedTarget.serializer(), exchange.body).copy(id = id)
        copy(targets = targets.put(id, target))
    }

    private fun change(exchange: Exchange, edit: Membership.(String) -> Membership): Reply {
        val id = exchange.parameters["id"].orEmpty()
        synchronized(list) { list.put(nowMs(), list.newest.value.edit(id)) }
        exchange.tookEffect()
        return Reply.Whole()
    }

    private companion object {
        const val NOT_MODIFIED = 304
    }
}
