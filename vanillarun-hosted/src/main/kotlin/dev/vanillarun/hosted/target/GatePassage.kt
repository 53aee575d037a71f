package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.time.Instant

/** Way of one [request] to [replica] through [gates]; each gate that it passed learns its end once. */
internal class GatePassage(
    private val gates: TargetGates,
    private val replica: Replica,
    private val request: GatedRequest,
) {
    private var enteredAt: Instant? = null
    private var headAt: Instant? = null
    private var isEnded = false

    /** True once the gates let the request pass. */
    val hasEntered: Boolean get() = enteredAt != null

    /** Passes the gates immediately before the request is sent, or returns why it must not be. */
    fun enter(): GateRefusal? {
        val refusal = gates.enter(replica, request)
        if (refusal == null) enteredAt = gates.clock.now()
        return refusal
    }

    /** Records the [head] of the response to the request. */
    fun responded(head: ResponseHead) {
        if (!hasEntered || headAt != null || isEnded) return
        headAt = gates.clock.now()
        gates.responded(replica, request, head)
    }

    /** Ends the request with [result]; later calls have no effect. */
    fun end(result: RequestResult) {
        if (isEnded) return
        isEnded = true
        val start = enteredAt
        if (start != null) {
            gates.ended(replica, request, RequestEnd(result, gates.clock.now() - start, headAt?.minus(start)))
        } else if (result == RequestResult.FAILED) {
            gates.unreachable(replica)
        }
    }
}
