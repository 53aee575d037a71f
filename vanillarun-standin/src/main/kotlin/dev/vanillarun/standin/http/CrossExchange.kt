package dev.vanillarun.standin.http

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Exchanges the answers of calls in pairs. */
internal class CrossExchange {
    private class Offer(val mine: Reply.Whole) {
        val other = CompletableDeferred<Reply.Whole>()
    }

    private var waiting: Offer? = null

    /** The answer of another call that crosses within [timeout], otherwise [mine]. */
    suspend fun swap(mine: Reply.Whole, timeout: Duration): Reply.Whole {
        val offer = Offer(mine)
        val partner = meet(offer)
        if (partner != null) {
            partner.other.complete(mine)
            return partner.mine
        }
        return withTimeoutOrNull(timeout) { offer.other.await() } ?: leave(offer)
    }

    @Synchronized
    private fun meet(offer: Offer): Offer? {
        val partner = waiting
        waiting = if (partner == null) offer else null
        return partner
    }

    @Synchronized
    private fun leave(offer: Offer): Reply.Whole {
        if (waiting === offer) waiting = null
        return offer.mine
    }
}
