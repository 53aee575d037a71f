package dev.vanillarun.hosted.catalog

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.catalog.regionProblems
import dev.vanillarun.core.evacuation.Evacuations
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.core.zone.Region
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlin.time.Duration.Companion.milliseconds

/**
 * View of the operator's topic: the catalog in force, the newest published weights of each model and the evacuations.
 */
internal class CatalogSource(
    log: TopicLog,
    private val codec: CatalogCodec,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    private val knownRegions: Set<Region> = emptySet(),
) : TopicSink {
    private val catalogs = MutableStateFlow<Catalog?>(null)
    private val weights = MutableStateFlow<Map<String, WeightVersion>>(emptyMap())

    private val ordered = MutableStateFlow(Evacuations())

    /** Reads [CatalogCodec.operatorTopic] into this view. */
    val follower = TopicFollower(log, codec.operatorTopic, this, clock, events)

    /** Catalog in force; null until the first one is read. Its version never decreases. */
    val catalog: StateFlow<Catalog?> = catalogs.asStateFlow()

    /** Newest published weight version by model; versions never decrease. */
    val newestWeights: StateFlow<Map<String, WeightVersion>> = weights.asStateFlow()

    /** Evacuations in force; one ends when its record is removed, or is absent from a complete snapshot. */
    val evacuations: StateFlow<Evacuations> = ordered.asStateFlow()

    /** Regions to which the requests of [customer] are limited; empty if it may be anywhere or is not known. */
    fun regionsOf(customer: CustomerId?): Set<Region> =
        customer?.let { catalogs.value?.customers?.get(it) }?.regions.orEmpty()

    /**
     * True if this view holds every change that the store accepted more than [MAX_CURRENT_AGE] ago; asks the store if
     * the last read is older than that.
     */
    suspend fun confirmCurrent(): Boolean = follower.confirm(MAX_CURRENT_AGE, CONFIRM_TIMEOUT)

    override fun reset(records: List<StoredTopicRecord>) {
        accept(records)
        val present = records.filter { it.value != null }.mapTo(HashSet()) { it.key }
        applyEvacuations(ordered.value.retained(present, clock.now()))
    }

    override fun accept(records: List<StoredTopicRecord>) = records.forEach(::applyRecord)

    private fun applyRecord(record: StoredTopicRecord) {
        val value = record.value ?: return applyEvacuations(ordered.value.withdrawn(record.key, clock.now()))
        when (val decoded = codec.operatorRecord(record.key, value)) {
            is OperatorRecord.CatalogPublished -> applyCatalog(decoded.catalog)

            is OperatorRecord.WeightsPublished -> applyWeights(decoded.weights)

            is OperatorRecord.EvacuationRequested ->
                applyEvacuations(ordered.value.requested(record.key, decoded.dataCentre, clock.now()))

            is OperatorRecord.Ignored ->
                events.record("operator.ignored", EventLinks(), mapOf("key" to record.key, "reason" to decoded.reason))
        }
    }

    private fun applyCatalog(next: Catalog) {
        val before = catalogs.value
        if (before != null && next.version <= before.version) return
        catalogs.value = next
        val attributes = mapOf("version" to "${next.version}", "routes" to "${next.routes.size}")
        events.record("catalog.applied", EventLinks(), attributes)
        next.regionProblems(knownRegions).forEach {
            events.record("catalog.problem", EventLinks(), mapOf("version" to "${next.version}", "problem" to it))
        }
    }

    private fun applyEvacuations(next: Evacuations) {
        val before = ordered.value.dataCentres
        ordered.value = next
        (next.dataCentres - before).forEach { recordEvacuation("evacuation.requested", it) }
        (before - next.dataCentres).forEach { recordEvacuation("evacuation.ended", it) }
    }

    private fun recordEvacuation(name: String, dataCentre: DataCentre) {
        events.record(name, EventLinks(), mapOf("data_centre" to dataCentre.name))
    }

    private fun applyWeights(published: PublishedWeights) {
        val before = weights.value[published.model]
        if (before != null && published.version <= before) return
        weights.value += published.model to published.version
        val attributes = mapOf("model" to published.model, "version" to "${published.version.number}")
        events.record("weights.named", EventLinks(), attributes)
    }

    private companion object {
        /** Maximum age at which the view may be trusted that a key or route does not exist. */
        val MAX_CURRENT_AGE = 900.milliseconds
        val CONFIRM_TIMEOUT = 500.milliseconds
    }
}
