package dev.vanillarun.standin.caller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram

/** How a call ended, after all resends. */
@Serializable
public enum class CallEnd {
    /** The caller has its own whole answer. */
    @SerialName("served")
    SERVED,

    /** The system says that the call ran, but its answer is lost. */
    @SerialName("ran")
    RAN,

    /** The system says that the call did not run. */
    @SerialName("not-run")
    NOT_RUN,

    /** The caller does not know whether the call ran. */
    @SerialName("unknown")
    UNKNOWN,

    /** The answer was not the call's own, or not whole, and yet looked like a success. */
    @SerialName("wrong")
    WRONG,
}

/** Calls of one customer. */
@Serializable
public data class CustomerCalls(
    /** Customer. */
    public val customer: String,
    /** Calls. */
    public val calls: Int,
    /** Served calls. */
    public val served: Int,
    /** Half of the served calls took less than this. */
    public val p50Ms: Double,
    /** Of a hundred served calls, 99 took less than this, from the intended time of sending. */
    public val p99Ms: Double,
)

/** What the live callers saw. */
@Serializable
public data class CallerSummary(
    /** Calls. */
    public val calls: Int,
    /** Calls by their end. */
    public val ends: Map<CallEnd, Int>,
    /** Calls that may be repeated and still ended unknown. */
    public val failedRepeatable: Int,
    /** Customers. */
    public val customers: List<CustomerCalls>,
    /** Greatest p99 of a customer. */
    public val worstP99Ms: Double,
    /** End of each call that may run only once. */
    public val bookings: Map<String, CallEnd>,
)

/** Collects the ends of calls; safe for concurrent use. */
internal class CallerTally {
    private class OfCustomer {
        val latency = ConcurrentHistogram(MAX_MICROS, DIGITS)
        var calls = 0
        var served = 0
    }

    private val customers = sortedMapOf<String, OfCustomer>()
    private val ends = sortedMapOf<CallEnd, Int>()
    private val bookings = sortedMapOf<String, CallEnd>()
    private var failedRepeatable = 0

    @Synchronized
    fun add(call: PlannedCall, end: CallEnd, micros: Long) {
        ends.merge(end, 1, Int::plus)
        val of = customers.getOrPut(call.customer.name) { OfCustomer() }
        of.calls++
        if (end == CallEnd.SERVED) {
            of.served++
            of.latency.recordValue(micros.coerceIn(0, MAX_MICROS))
        }
        if (call.kind == CallKind.BOOKING) {
            bookings[call.id] = end
        } else if (end != CallEnd.SERVED && end != CallEnd.NOT_RUN) {
            failedRepeatable++
        }
    }

    @Synchronized
    fun summary(): CallerSummary {
        val rows =
            customers.map { (name, of) ->
                CustomerCalls(name, of.calls, of.served, of.latency.millis(HALF), of.latency.millis(NEARLY_ALL))
            }
        return CallerSummary(
            calls = customers.values.sumOf { it.calls },
            ends = ends.toMap(),
            failedRepeatable = failedRepeatable,
            customers = rows,
            worstP99Ms = rows.maxOfOrNull { it.p99Ms } ?: 0.0,
            bookings = bookings.toMap(),
        )
    }

    private fun ConcurrentHistogram.millis(percentile: Double) = getValueAtPercentile(percentile) / MICROS_PER_MILLI

    private companion object {
        const val MAX_MICROS = 120_000_000L
        const val DIGITS = 3
        const val HALF = 50.0
        const val NEARLY_ALL = 99.0
        const val MICROS_PER_MILLI = 1_000.0
    }
}
