package dev.vanillarun.hosted.catalog

import dev.vanillarun.core.catalog.Replica
import java.net.URI
import java.net.URISyntaxException

/** Checks that requests can be sent to a target as it announces itself. */
internal object ReplicaValidator {
    private const val MAX_ID_LENGTH = 255

    /** Above every real target; sums of the slots of a service stay far below the limits of an Int. */
    private const val MAX_SLOTS = 100_000
    private val ValidPorts = 1..65_535

    /** Describes why [replica] cannot be used, and what its announcement has to name; null if it can. */
    fun problem(replica: Replica): String? {
        val id = replica.id.value
        val oldest = replica.weights.values.minOrNull()?.number ?: 0
        return when {
            id.length !in 1..MAX_ID_LENGTH || !id.all(::isVisible) ->
                "the id must have 1 to $MAX_ID_LENGTH visible ASCII characters"

            !isAddress(replica.address) -> "the address '${replica.address}' must be host:port, the port 1 to 65535"

            replica.slots !in 1..MAX_SLOTS -> "slots is ${replica.slots}, it must be 1 to $MAX_SLOTS"

            oldest < 0 -> "the weight version $oldest must be 0 or more"

            else -> null
        }
    }

    /** True for a character that a header value can carry everywhere; the id is sent in one. */
    private fun isVisible(character: Char) = character in '!'..'~'

    private fun isAddress(text: String): Boolean = try {
        val uri = URI("http://$text")
        uri.host != null && uri.port in ValidPorts && "${uri.host}:${uri.port}" == text
    } catch (_: URISyntaxException) {
        false
    }
}
