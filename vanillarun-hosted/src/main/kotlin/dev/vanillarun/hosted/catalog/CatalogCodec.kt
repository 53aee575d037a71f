package dev.vanillarun.hosted.catalog

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.zone.DataCentre

/** Weight version of a model that its trainer has published. */
public data class PublishedWeights(
    /** Name of the model. */
    public val model: String,
    /** Published version; ignored unless it is newer than the one known before. */
    public val version: WeightVersion,
)

/** Decoded record of the operator's topic. */
public sealed interface OperatorRecord {
    /** The operator published a new catalog. */
    public data class CatalogPublished(
        /** Complete catalog; replaces the one in force if its version is newer. */
        public val catalog: Catalog,
    ) : OperatorRecord

    /** A trainer published a new weight version. */
    public data class WeightsPublished(
        /** Model and version. */
        public val weights: PublishedWeights,
    ) : OperatorRecord

    /** The operator evacuates a data centre; the removal of the record ends that. */
    public data class EvacuationRequested(
        /** Data centre whose targets must get no requests. */
        public val dataCentre: DataCentre,
    ) : OperatorRecord

    /** The record cannot be decoded, or is of a kind that instances do not use. */
    public data class Ignored(
        /** Reason for the event log. */
        public val reason: String,
    ) : OperatorRecord
}

/** Decoded announcement of a target. */
public sealed interface Announcement {
    /** Decides whether a decoded target can be used. */
    public companion object {
        /** Lists [replica], unless no request could be sent to it as it describes itself. */
        public fun of(replica: Replica): Announcement =
            ReplicaValidator.problem(replica)?.let { Unusable(it) } ?: Listed(replica)
    }

    /** The target can be used. */
    public data class Listed(
        /** Target as it describes itself. */
        public val replica: Replica,
    ) : Announcement

    /** The record does not describe a target that can be used. */
    public data class Unusable(
        /** Reason for the event log. */
        public val reason: String,
    ) : Announcement
}

/** Decodes the records that the operator, trainers and targets write to the hosting platform's store. */
public interface CatalogCodec {
    /** Topic to which the operator publishes catalogs and trainers publish weight versions. */
    public val operatorTopic: TopicName

    /** Keyed topic in which each target announces itself; the key is the target's id. */
    public val targetTopic: TopicName

    /** Decodes a record of [operatorTopic]; [OperatorRecord.Ignored] if that is impossible. */
    public fun operatorRecord(key: String, value: ByteArray): OperatorRecord

    /** Decodes a record of [targetTopic]; [Announcement.Unusable] if that is impossible. */
    public fun announcement(key: String, value: ByteArray): Announcement
}
