package dev.vanillarun.core.store

import dev.vanillarun.core.log.Offset
import kotlin.time.Duration

/** A named sequence of records on the platform's store. */
public data class TopicName(
    /** Name. */
    public val value: String,
    /** True if the newest record of each key is kept for good; otherwise all records expire. */
    public val keyed: Boolean,
)

/** A record to append. */
public class TopicRecord(
    /** Key; empty in topics without keys. */
    public val key: String,
    /** Content; null removes the key. */
    public val value: ByteArray?,
)

/** A record that was read. */
public class StoredTopicRecord(
    /** Position in the topic. */
    public val offset: Offset,
    /** Key; empty in topics without keys. */
    public val key: String,
    /** Content; null if the key was removed. */
    public val value: ByteArray?,
)

/** Identity of an append; an append that is repeated under the same identity takes effect once. */
public data class AppendIdentity(
    /** Writer; new for each run of a process. */
    public val producer: String,
    /** Number of the append within the run, without gaps. */
    public val sequence: Long,
)

/** Outcome of an append to a topic. */
public sealed interface TopicAppend {
    /** The records stand in the topic, also if they were appended by an earlier try. */
    public data object Done : TopicAppend

    /** This try had no effect and will have none. */
    public data class Refused(
        /** What was seen. */
        public val reason: String,
    ) : TopicAppend

    /** This try may have taken effect, or may do so later. */
    public data class InDoubt(
        /** What was seen. */
        public val reason: String,
    ) : TopicAppend
}

/** Outcome of a read. */
public sealed interface TopicRead {
    /** Records from the asked position on, in order, without a gap. */
    public class Page(
        /** Records. */
        public val records: List<StoredTopicRecord>,
        /** Position to read from next. */
        public val next: Offset,
        /** Position after the newest record of the topic. */
        public val end: Offset,
    ) : TopicRead

    /** Records at the asked position have expired. */
    public data class Expired(
        /** Earliest position that is kept. */
        public val first: Offset,
    ) : TopicRead

    /** The store did not answer. */
    public data class Unavailable(
        /** What was seen. */
        public val reason: String,
    ) : TopicRead
}

/** Slots of a group that belong to a member, as granted at one moment. */
public data class SlotGrant(
    /** Number of the distribution. */
    public val generation: Long,
    /** Slots. */
    public val slots: Set<Int>,
)

/** The platform's store: topics with an order that all processes share. */
public interface TopicLog {
    /** Number of slots of each group. */
    public val slotCount: Int

    /** Appends [records], all or none. */
    public suspend fun append(
        topic: TopicName,
        records: List<TopicRecord>,
        identity: AppendIdentity? = null,
    ): TopicAppend

    /** Reads from [from] on; with nothing there the answer may take [wait]. */
    public suspend fun read(topic: TopicName, from: Offset, wait: Duration): TopicRead

    /**
     * Newest record of each key, in order of position. [TopicRead.Page.next] is a position from which reading on
     * misses nothing; records before it may be met again.
     */
    public suspend fun newest(topic: TopicName): TopicRead

    /** Joins [group] as [member] or stays in it for [ttl]; null if the store did not answer. */
    public suspend fun join(group: String, member: String, generation: Long, ttl: Duration): SlotGrant?

    /** Leaves [group]. */
    public suspend fun leave(group: String, member: String)
}
