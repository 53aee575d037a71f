package dev.vanillarun.standin.platform

import dev.vanillarun.standin.http.Exchange
import dev.vanillarun.standin.http.Reply
import dev.vanillarun.standin.http.wireJson
import kotlinx.serialization.Serializable

/** Targets that were ordered last for a route in a data centre. */
@Serializable
internal data class OrderedTargets(
    val dataCentre: String,
    val route: String,
    val desired: Int,
    val term: Long = 0,
    val issuer: String = "",
)

@Serializable
private data class OrderRequest(val id: String)

@Serializable
private data class OrderedList(val orders: List<OrderedTargets>)

/** Orders of targets and reports of usage; both are taken from anyone, and the journal shows who gave them. */
internal class OrderService {
    private val seen = HashSet<String>()
    private val ordered = LinkedHashMap<Pair<String, String>, OrderedTargets>()

    /** An order; the same identity again has no further effect. */
    fun order(exchange: Exchange): Reply {
        val id = wireJson.decodeFromString(OrderRequest.serializer(), exchange.body).id
        val order = wireJson.decodeFromString(OrderedTargets.serializer(), exchange.body)
        synchronized(this) {
            if (seen.add(id)) {
                ordered[order.dataCentre to order.route] = order
                exchange.tookEffect()
            }
        }
        return Reply.Whole()
    }

    /** The orders in force, the last one for each route and data centre. */
    fun list(): Reply {
        val orders = synchronized(this) { ordered.values.toList() }
        return Reply.Whole(body = wireJson.encodeToString(OrderedList(orders)))
    }

    /** A report of a usage window. */
    fun report(exchange: Exchange): Reply {
        wireJson.parseToJsonElement(exchange.body)
        exchange.tookEffect()
        return Reply.Whole()
    }
}
