package dev.vanillarun.core.store

import dev.vanillarun.core.log.Offset
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Name of a topic, an ordered sequence of records in the store of the platform. */
public data class TopicName(
    /** Name in the store. */
    public val value: String,
    /** True if the latest record of each key is retained forever; otherwise all records expire. */
    public val keyed: Boolean,
)

/** Record to append to a topic. */
public class TopicRecord(
    /** Key; empty in topics without keys. */
    public val key: String,
    /** Content; null removes the key. */
    public val value: ByteArray?,
)

/** Record that was read from a topic. */
public class StoredTopicRecord(
    /** Offset of the record in the topic. */
    public val offset: Offset,
    /** Key; empty in topics without keys. */
    public val key: String,
    /** Content; null if the key was removed. */
    public val value: ByteArray?,
)

/** Identity that makes an append idempotent: an append that is repeated with the same identity takes effect once. */
public data class AppendIdentity(
    /** Identity of the writer, different for each run of a process. */
    public val producer: String,
    /** Sequence number of the append within the run, without gaps. */
    public val sequence: Long,
)

/** Result of an append to a topic. */
public sealed interface TopicAppendResult {
    /** The records are in the topic, written by this attempt or by an earlier one. */
    public data object Done : TopicAppendResult

    /** This attempt had no effect and will have none later. */
    public data class Refused(
        /** Description of the failure, for messages. */
        public val reason: String,
    ) : TopicAppendResult

    /** The store accepts these records at no attempt: neither this one nor an earlier one has had an effect. */
    public data class Rejected(
        /** Description of the failure and of its mend, for messages. */
        public val reason: String,
    ) : TopicAppendResult

    /** This attempt may have taken effect, or may still take effect later. */
    public data class InDoubt(
        /** Description of the failure, for messages. */
        public val reason: String,
    ) : TopicAppendResult
}

/** Result of a read from a topic. */
public sealed interface TopicReadResult {
    /** Records from the requested offset on, in order and without a gap. */
    public class Page(
        /** Records in ascending order of their offsets. */
        public val records: List<StoredTopicRecord>,
        /** Offset to continue reading at. */
        public val next: Offset,
        /** Offset after the last record of the topic. */
        public val end: Offset,
    ) : TopicReadResult

    /** The records at the requested offset have expired. */
    public data class Expired(
        /** Lowest offset that the topic still retains. */
        public val first: Offset,
    ) : TopicReadResult

    /** The store gave no usable response. */
    public data class Unavailable(
        /** Description of the failure, for messages. */
        public val reason: String,
    ) : TopicReadResult
}

/** Result of a read of a part of the newest records of a topic. */
public sealed interface TopicSnapshotResult {
    /** Newest records of consecutive keys. */
    public class Page(
        /** Records in ascending order of their keys. */
        public val records: List<StoredTopicRecord>,
        /** Offset after the last record of the topic. */
        public val end: Offset,
        /** Key after which the next page begins; null if this is the last page. */
        public val continueAfter: String?,
    ) : TopicSnapshotResult

    /** The store gave no usable response. */
    public data class Unavailable(
        /** Description of the failure, for messages. */
        public val reason: String,
    ) : TopicSnapshotResult
}

/** Slots of a group that are assigned to a member at one point in time. */
public data class SlotGrant(
    /** Generation of the assignment, passed back to the store with the next join. */
    public val generation: Long,
    /** Indices of the assigned slots, from zero. */
    public val slots: Set<Int>,
)

/**
 * Store of the platform: topics with an order that all processes share, and groups that divide slots among their
 * members.
 */
public interface TopicLog {
    /** Number of slots of each group. */
    public val slotCount: Int

    /** Limits on what is appended. */
    public val limits: AppendLimits get() = AppendLimits()

    /**
     * Appends [records] atomically. With an [identity], the append can be retried without writing the records twice.
     */
    public suspend fun append(
        topic: TopicName,
        records: List<TopicRecord>,
        identity: AppendIdentity? = null,
    ): TopicAppendResult

    /**
     * Reads records from offset [from] on. If there are none, the response may be delayed by up to [wait] (long
     * polling). The read fails after [silence] beyond that without a byte of the response.
     */
    public suspend fun read(
        topic: TopicName,
        from: Offset,
        wait: Duration,
        silence: Duration = DEFAULT_SILENCE,
    ): TopicReadResult

    /**
     * One page of the newest record of each key greater than [after], or from the first key on. Pages are not a
     * consistent snapshot: reading on from the end of the first page misses no record, but may return records again
     * that were already returned here. The read fails after [silence] without a byte of the response.
     */
    public suspend fun newest(topic: TopicName, after: String?, silence: Duration): TopicSnapshotResult

    /**
     * Joins [group] as [member], or renews the membership, for [ttl]. [generation] is that of the last grant. Returns
     * null if the store gave no usable response.
     */
    public suspend fun join(group: String, member: String, generation: Long, ttl: Duration): SlotGrant?

    /** Leaves [group], so that the slots of [member] are reassigned. */
    public suspend fun leave(group: String, member: String)

    /** Defaults of the reads. */
    public companion object {
        /** Silence that a read bears unless its caller knows better; a connection may have gone silent for good. */
        public val DEFAULT_SILENCE: Duration = 700.milliseconds
    }
}
