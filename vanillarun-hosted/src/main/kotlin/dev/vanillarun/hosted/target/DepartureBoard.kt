package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** Kind of exchange with a target. */
public enum class ExchangeKind {
    /** Call of a live caller. */
    LIVE,

    /** Stream of a live caller. */
    STREAM,

    /** Run of an item of a job. */
    ITEM,

    /** Call that scores a sample. */
    REWARD,

    /** Status read of an engine. */
    STATUS,

    /** Load order to an engine. */
    ORDER,

    ;

    /** Name in events, metrics and status. */
    public val label: String get() = name.lowercase()
}

/** The targets that this instance knows from the store. */
public interface TargetListing {
    /** Targets of [service] whose announcement says that they accept new work. */
    public fun of(service: String): List<Replica>

    /** Time since the announcement of [target] was last read; null if it is not listed. */
    public fun announcementAge(target: TargetId): Duration?
}

/**
 * Targets that announced their departure in a response to this instance.
 *
 * A departure belongs to one run of a target: a run that started later, by the target's own start time, is another
 * target. It does not depend on the store, since announcements there may be late or missing. A departed target gets no
 * new request; only while all targets of its service have departed, they serve on for [allowance].
 */
public class DepartureBoard(
    private val listing: TargetListing,
    private val allowance: Duration,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
    private val events: EventRecorder,
) {
    private data class Departure(
        val startedAt: Long,
        val since: Instant,
        val sinceWallMillis: Long,
        val kind: ExchangeKind,
        val lastListed: Instant,
    )

    private val departures = ConcurrentHashMap<TargetId, Departure>()
    private val counts = ExchangeKind.entries.associateWith { AtomicLong() }

    /** Number of departures seen so far, by the kind of exchange that showed them first. */
    public val countsByKind: Map<String, Long> get() = counts.entries.associate { it.key.label to it.value.get() }

    /** Records the departure of [replica] if [head], received in an exchange of [kind], announces it. */
    public fun responseReceived(replica: Replica, head: ResponseHead, kind: ExchangeKind) {
        if (!head.leaving || head.wrongTarget) return
        var isNew = false
        departures.compute(replica.id) { _, before ->
            isNew = before == null || !before.covers(replica)
            val now = clock.now()
            if (isNew) Departure(replica.startedAt, now, wallClock(), kind, lastListed = now) else before
        }
        if (!isNew) return
        counts.getValue(kind).incrementAndGet()
        val attributes = mapOf(
            "target" to replica.id.value,
            "service" to replica.service,
            "address" to replica.address,
            "path" to kind.label,
            "entry_age_ms" to listing.announcementAge(replica.id)?.inWholeMilliseconds?.toString().orEmpty(),
        )
        events.record("target.departing", EventLinks(), attributes)
    }

    /** Kind of exchange in which [replica] announced its departure; null if it has not. */
    public fun departureOf(replica: Replica): ExchangeKind? = departure(replica)?.kind

    /** True if [replica] has announced its departure. */
    public fun isDeparting(replica: Replica): Boolean = departure(replica) != null

    /** Targets of [service] that may get new requests now. */
    public fun eligible(service: String): List<Replica> {
        val listed = listing.of(service)
        return listed.filterNot(::isDeparting).ifEmpty { listed.filter(::isWithinAllowance) }
    }

    /** True if all listed targets of [service], and at least one, have departed and may get no more requests. */
    public fun hasLeft(service: String): Boolean = eligible(service).isEmpty() && listing.of(service).isNotEmpty()

    /** True if [replica], whenever it was chosen, may get a request now. */
    public fun mayReceive(replica: Replica): Boolean = !isDeparting(replica) ||
        (isWithinAllowance(replica) && listing.of(replica.service).all(::isDeparting))

    /** Forgets departures of targets that have not been in [present] for [RETENTION]. */
    public fun retain(present: Collection<Replica>) {
        val ids = present.mapTo(HashSet()) { it.id }
        val now = clock.now()
        departures.keys.forEach { id ->
            departures.computeIfPresent(id) { _, departure ->
                when {
                    id in ids -> departure.copy(lastListed = now)
                    now - departure.lastListed >= RETENTION -> null
                    else -> departure
                }
            }
        }
    }

    private fun departure(replica: Replica): Departure? = departures[replica.id]?.takeIf { it.covers(replica) }

    private fun isWithinAllowance(replica: Replica): Boolean =
        departure(replica)?.let { clock.now() - it.since < allowance } ?: true

    /**
     * An outdated announcement may name an earlier run than the one that responded. All runs that had started by the
     * time of the response are therefore covered.
     */
    private fun Departure.covers(replica: Replica): Boolean =
        replica.startedAt <= startedAt || replica.startedAt <= sinceWallMillis

    private companion object {
        /** Far longer than a leaving target runs on, or than its entry may be missing during an outage. */
        val RETENTION = 1.hours
    }
}
