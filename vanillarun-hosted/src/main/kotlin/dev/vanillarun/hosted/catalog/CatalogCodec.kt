package dev.vanillarun.hosted.catalog

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.store.TopicName

/** Newest weights of a model that its trainer has named. */
public data class PublishedWeights(
    /** Model. */
    public val model: String,
    /** Version. */
    public val version: WeightVersion,
)

/** What a record of the operator's topic says. */
public sealed interface OperatorRecord {
    /** A catalog was put in force. */
    public data class CatalogPublished(
        /** The catalog. */
        public val catalog: Catalog,
    ) : OperatorRecord

    /** A trainer named new weights. */
    public data class WeightsPublished(
        /** The weights. */
        public val named: PublishedWeights,
    ) : OperatorRecord

    /** The record cannot be read, or is of no concern here. */
    public data class Ignored(
        /** Why. */
        public val reason: String,
    ) : OperatorRecord
}

/** Outcome of reading a target's announcement. */
public sealed interface Announcement {
    /** The target. */
    public data class Listed(
        /** The target. */
        public val replica: Replica,
    ) : Announcement

    /** The record names no target that can be used. */
    public data class Unusable(
        /** Why. */
        public val reason: String,
    ) : Announcement
}

/** Reads what the operator and the targets write to the hosting platform's store. */
public interface CatalogCodec {
    /** Topic that the operator and trainers write. */
    public val operatorTopic: TopicName

    /** Topic in which targets announce themselves, each under its identity. */
    public val targetTopic: TopicName

    /** Reads a record of [operatorTopic]. */
    public fun operatorRecord(key: String, value: ByteArray): OperatorRecord

    /** Reads a record of [targetTopic]. */
    public fun announcement(key: String, value: ByteArray): Announcement
}
