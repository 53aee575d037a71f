package dev.vanillarun.hosted.catalog

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlin.time.Duration.Companion.milliseconds

/** Follows the operator's topic: the catalog in force and the newest weights of each model. */
internal class CatalogSource(
    log: TopicLog,
    private val codec: CatalogCodec,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) : TopicSink {
    private val catalogs = MutableStateFlow<Catalog?>(null)
    private val weights = MutableStateFlow<Map<String, WeightVersion>>(emptyMap())

    /** Reads the topic. */
    val follower = TopicFollower(log, codec.operatorTopic, this, clock, events)

    /** Catalog in force; null until the first was read. Never goes back to an older version. */
    val catalog: StateFlow<Catalog?> = catalogs.asStateFlow()

    /** Newest named version of each model. */
    val named: StateFlow<Map<String, WeightVersion>> = weights.asStateFlow()

    /** True if no change that the store took more than a moment ago can be missing here. */
    fun isCurrent(): Boolean = follower.age(clock.now())?.let { it < CURRENT } ?: false

    override fun reset(records: List<StoredTopicRecord>) = accept(records)

    override fun accept(records: List<StoredTopicRecord>) = records.forEach(::take)

    private fun take(record: StoredTopicRecord) {
        val value = record.value ?: return
        when (val read = codec.operatorRecord(record.key, value)) {
            is OperatorRecord.CatalogPublished -> publish(read.catalog)

            is OperatorRecord.WeightsPublished -> name(read.named)

            is OperatorRecord.Ignored ->
                events.record("operator.ignored", EventLinks(), mapOf("key" to record.key, "reason" to read.reason))
        }
    }

    private fun publish(next: Catalog) {
        val before = catalogs.value
        if (before != null && next.version <= before.version) return
        catalogs.value = next
        val what = mapOf("version" to "${next.version}", "routes" to "${next.routes.size}")
        events.record("catalog.applied", EventLinks(), what)
    }

    private fun name(named: PublishedWeights) {
        val before = weights.value[named.model]
        if (before != null && named.version <= before) return
        weights.value += named.model to named.version
        val what = mapOf("model" to named.model, "version" to "${named.version.number}")
        events.record("weights.named", EventLinks(), what)
    }

    private companion object {
        /** Age up to which a view decides on its own that a key or route does not exist; two long polls. */
        val CURRENT = 900.milliseconds
    }
}
