package dev.vanillarun.standin.caller

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** A customer of the live-caller stand-in. */
public data class CallingCustomer(
    /** Name. */
    public val name: String,
    /** Key. */
    public val key: String,
    /** Share of the calls. */
    public val weight: Int = 1,
)

/** Kinds of calls. */
public enum class CallKind {
    /** A completion that is answered as a whole. */
    COMPLETION,

    /** A streamed completion. */
    STREAM,

    /** A call to the plain service that may be repeated. */
    LOOKUP,

    /** A call to the plain service that may run only once; it carries an `Idempotency-Key`. */
    BOOKING,
}

/** A call that is to be made. */
public data class PlannedCall(
    /** Time from the start. */
    public val at: Duration,
    /** Identity, unique among all calls of a run. */
    public val id: String,
    /** Customer. */
    public val customer: CallingCustomer,
    /** Kind. */
    public val kind: CallKind,
)

/** Poisson arrivals of calls of [kinds], a function of [seed]. */
public fun planCalls(
    customers: List<CallingCustomer>,
    callsPerSecond: Double,
    duration: Duration,
    seed: Long,
    kinds: List<CallKind> = CallKind.entries,
): Sequence<PlannedCall> {
    val random = Random(seed)
    val drawn = customers.flatMap { customer -> List(customer.weight) { customer } }
    return generateSequence(Duration.ZERO) { it + random.gap(callsPerSecond) }
        .drop(1)
        .takeWhile { it < duration }
        .mapIndexed { n, at -> PlannedCall(at, "call-$seed-$n", drawn.random(random), kinds.random(random)) }
}

private fun Random.gap(perSecond: Double): Duration =
    (-ln(1 - nextDouble()) / perSecond * 1.seconds.inWholeNanoseconds).toLong().nanoseconds
