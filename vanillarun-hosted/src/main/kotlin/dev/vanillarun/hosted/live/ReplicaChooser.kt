package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.routing.CompletionParameters
import dev.vanillarun.core.routing.ExpectedCompletionSelector
import dev.vanillarun.core.routing.RequestProfile
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetTracker
import dev.vanillarun.hosted.target.view
import kotlin.random.Random

/** Chooses the target of a plain service: filters the targets and leaves the decision to `core.routing`. */
internal class ReplicaChooser(
    private val departures: DepartureBoard,
    private val tracker: TargetTracker,
    private val isWarm: (Replica) -> Boolean,
    local: DataCentre,
    private val clock: MonotonicClock,
    private val random: Random = Random.Default,
    private val gates: TargetGates = TargetGates(),
) {
    private val selector = ExpectedCompletionSelector(local, random, CompletionParameters.ForCalls)

    /** Returns a target for [request] not in [triedIds], one in backoff only if all are; null if there is none. */
    fun choose(request: LiveRequest, triedIds: Set<TargetId>): Replica? {
        val service = service(request.route) ?: return null
        val gated = request.gated
        val candidates =
            departures.eligible(service).filter { it.id !in triedIds && gates.refusal(it, gated) == null }
        val backedOff = candidates.filterNot(tracker::usable).mapTo(HashSet()) { it.id }
        val excluded = if (backedOff.size == candidates.size) emptySet() else backedOff
        val views = candidates.map { tracker.view(it, connected = isWarm(it)) }
        return selector.select(views, Call, excluded, clock.now())?.let { id -> candidates.first { it.id == id } }
    }

    /** True if every target that may get [request] backs off after rejections for lack of capacity, not failures. */
    fun isFull(request: LiveRequest): Boolean {
        val candidates = open(request)
        return candidates.isNotEmpty() && candidates.all { !tracker.usable(it) && tracker.of(it).failures == 0 }
    }

    /** Why [choose] finds no target for a new [request]. */
    fun reasonForNone(request: LiveRequest): String {
        val services = request.route.services.map { it.service }
        val refusal = services.flatMap(departures::eligible).firstNotNullOfOrNull { gates.refusal(it, request.gated) }
        return when {
            refusal != null -> refusal.reason
            services.any(departures::hasLeft) -> "all targets are leaving"
            else -> "no target is known"
        }
    }

    /** Targets that no gate withholds from [request]. */
    private fun open(request: LiveRequest): List<Replica> = request.route.services
        .flatMap { departures.eligible(it.service) }
        .filter { gates.refusal(it, request.gated) == null }

    private fun service(route: CatalogRoute): String? {
        val shares = route.services.filter { it.weight > 0 }
        val total = shares.sumOf { it.weight }
        if (shares.size <= 1 || total <= 0) return shares.firstOrNull()?.service
        var left = random.nextInt(total)
        return shares.firstOrNull {
            left -= it.weight
            left < 0
        }?.service
    }

    private companion object {
        val Call = RequestProfile()
    }
}
