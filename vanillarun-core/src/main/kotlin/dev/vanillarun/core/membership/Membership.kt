package dev.vanillarun.core.membership

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.platform.ListedInstance
import dev.vanillarun.core.platform.ListedState
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Timeouts of the membership. */
public data class MembershipTimeouts(
    /** Time without a liveness signal after which a member is no longer considered alive. */
    public val livenessTimeout: Duration = 15.seconds,
    /** Time without a liveness signal after which a member that the platform does not list is removed. */
    public val removalTimeout: Duration = 60.seconds,
    /** Time for which a member that did not respond is not called again. */
    public val callBackoff: Duration = 2.seconds,
)

/** Description that an instance publishes of itself. A higher [version] replaces a lower one, also across restarts. */
public data class MemberSummary(
    /** Instance that the summary describes. */
    public val id: InstanceId,
    /** Version that increases with each summary of the instance. */
    public val version: Long,
    /** Data centre that the instance runs in. */
    public val dataCentre: DataCentre,
    /** Address of its peer endpoint, `host:port`. */
    public val peerAddress: String,
    /** True if the instance is shutting down. */
    public val draining: Boolean = false,
)

/** State of another instance as known to this one. */
public data class Member(
    /** Latest summary; null while the member is known from the list of the platform only. */
    public val summary: MemberSummary? = null,
    /** Time of the last liveness signal, a new summary or a new version; null if there was none. */
    public val lastAliveAt: Instant? = null,
    /** Entry in the latest list of the platform; null if the list has none. */
    public val listed: ListedInstance? = null,
    /** Time until which the member is not called because it did not respond; null if it is not in backoff. */
    public val retryAt: Instant? = null,
    /** Highest version that other instances reported without the summary itself. */
    public val sightedVersion: Long = Long.MIN_VALUE,
) {
    /** Highest version that is known to exist; null without a summary. */
    public val newestVersion: Long? get() = summary?.let { maxOf(it.version, sightedVersion) }

    /** Address of its peer endpoint, `host:port`; empty if unknown. */
    public val peerAddress: String get() = summary?.peerAddress ?: listed?.peerAddress.orEmpty()

    /** Data centre that the member runs in; null if unknown. */
    public val dataCentre: DataCentre? get() = summary?.dataCentre ?: listed?.dataCentre

    /** True if the member is shutting down according to its summary or to the platform. */
    public val leaving: Boolean get() = summary?.draining == true || listed?.state == ListedState.LEAVING
}

/**
 * State of the other instances. Immutable.
 *
 * It combines three sources: the list of the platform, which lags behind; the summaries that instances exchange by
 * gossip; and the results of the calls of this instance. A listed member may be called, but only a new summary or a
 * report of a newer version proves that it is alive. A failed call delays further calls and does not change the
 * liveness of the member, because the fault may be in the link of this instance.
 */
public data class Membership(
    /** Identity of this instance, which is never a member. */
    public val self: InstanceId,
    /** Timeouts that are applied. */
    public val timeouts: MembershipTimeouts = MembershipTimeouts(),
    /** All known members by identity. */
    public val members: PersistentMap<InstanceId, Member> = persistentMapOf(),
) {
    /** Merges a [summary] that was received at [now], from the member itself or by way of others. */
    public fun heard(summary: MemberSummary, now: Instant): Membership {
        if (summary.id == self) return this
        val known = members[summary.id] ?: Member()
        if (known.summary != null && known.summary.version >= summary.version) return this
        val lastAliveAt = if (summary.version > known.sightedVersion) now else known.lastAliveAt
        return copy(members = members.put(summary.id, known.copy(summary = summary, lastAliveAt = lastAliveAt)))
    }

    /**
     * Merges the report of another instance that [version] of member [id] exists. It is a liveness signal if the
     * version is higher than those known so far. Reports of unknown members and of members without a summary are
     * ignored.
     */
    public fun versionReported(id: InstanceId, version: Long, now: Instant): Membership {
        val newest = members[id]?.newestVersion ?: return this
        return if (version > newest) change(id) { it.copy(sightedVersion = version, lastAliveAt = now) } else this
    }

    /** Merges the list of the platform. Members that it lacks are kept until their removal timeout. */
    public fun listed(instances: List<ListedInstance>, now: Instant): Membership {
        val entries = instances.filter { it.id != self }.associateBy { it.id }
        val known = members.entries.fold(members) { all, (id, member) ->
            val next = member.copy(listed = entries[id])
            if (next.listed == null && member.isExpired(now)) all.remove(id) else all.put(id, next)
        }
        val all = entries.values.fold(known) { all, entry ->
            if (entry.id in all) all else all.put(entry.id, Member(listed = entry))
        }
        return copy(members = all)
    }

    /** Records that a call to [id] was answered, which ends the backoff of the member. */
    public fun callSucceeded(id: InstanceId): Membership = change(id) { it.copy(retryAt = null) }

    /** Records that a call to [id] failed at [now], which starts the backoff of the member. */
    public fun callFailed(id: InstanceId, now: Instant): Membership =
        change(id) { it.copy(retryAt = now + timeouts.callBackoff) }

    /** Members with a liveness signal within the liveness timeout. */
    public fun alive(now: Instant): List<Member> = members.values.filter { it.isAlive(now) }

    /** Members with a known address that are not in backoff after a failed call. */
    public fun callable(now: Instant): List<Member> =
        members.values.filter { it.peerAddress.isNotEmpty() && (it.retryAt == null || it.retryAt <= now) }

    private fun change(id: InstanceId, change: (Member) -> Member): Membership {
        val known = members[id] ?: return this
        return copy(members = members.put(id, change(known)))
    }

    private fun Member.isAlive(now: Instant): Boolean =
        lastAliveAt != null && now - lastAliveAt < timeouts.livenessTimeout

    private fun Member.isExpired(now: Instant): Boolean =
        lastAliveAt == null || now - lastAliveAt >= timeouts.removalTimeout
}
