package dev.vanillarun.daemon.caller

import dev.vanillarun.daemon.config.ActiveConfig
import kotlinx.coroutines.Job
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** A call in progress; its coroutine is cancelled when its access is withdrawn. */
public class ActiveCall internal constructor(private val request: CallerRequest, private val work: Job) {
    /** True once the key, or the customer's access to the route, was withdrawn. */
    @Volatile
    public var revoked: Boolean = false
        private set

    internal fun recheck(config: ActiveConfig) {
        if (config.stillAllows(request)) return
        revoked = true
        work.cancel()
    }
}

/** Tracks the calls in progress at this instance, and cancels those whose access is withdrawn. */
public class ActiveCalls {
    private val calls = ConcurrentHashMap.newKeySet<ActiveCall>()
    private val count = AtomicInteger()

    /** Number of calls between the receipt of their headers and the end of their responses. */
    public val inProgress: Int get() = count.get()

    /** Runs [block] and counts it in [inProgress] until it returns or throws. */
    public suspend fun <T> counted(block: suspend () -> T): T {
        count.incrementAndGet()
        try {
            return block()
        } finally {
            count.decrementAndGet()
        }
    }

    /** Registers [work], which serves [request], for cancellation by [recheck]. The caller has to [leave] it. */
    public fun enter(request: CallerRequest, work: Job): ActiveCall = ActiveCall(request, work).also { calls += it }

    /** Unregisters [call]. */
    public fun leave(call: ActiveCall) {
        calls -= call
    }

    /** Cancels the registered calls that [config] no longer allows. */
    public fun recheck(config: ActiveConfig) {
        calls.forEach { it.recheck(config) }
    }
}

private fun ActiveConfig.stillAllows(request: CallerRequest): Boolean {
    val route = config.routes.firstOrNull { it.name == request.route.name } ?: return true
    if (route.open) return true
    val owner = request.secret?.let { keyOwner(it.sha256) } ?: return false
    return route.customers.isEmpty() || owner.customer.id in route.customers
}
