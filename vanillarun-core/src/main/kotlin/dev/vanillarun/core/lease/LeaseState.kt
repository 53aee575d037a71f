package dev.vanillarun.core.lease

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId

/** Period in which one run of an instance holds the lease of a duty. */
public data class LeaseTerm(
    /** Offset of the accepted claim. It increases from term to term and serves as the fencing token. */
    public val number: Offset,
    /** Instance whose claim was accepted. */
    public val holder: InstanceId,
    /** Run of the holder; a restarted instance does not hold the lease of its predecessor. */
    public val incarnation: Incarnation,
)

/** State of the lease of one duty, as derived from the log. */
public data class LeaseState(
    /** Offset of the last record of the duty, of any type and from any writer; [Offset.None] if there is none. */
    public val lastRecord: Offset = Offset.None,
    /** Latest term; null if the reader has read no accepted claim. */
    public val term: LeaseTerm? = null,
    /** Identity of the last claim or renewal that extended [term]; null if there is no term. */
    public val extendedBy: RecordId? = null,
    /** True if the holder released [term] before it expired. */
    public val released: Boolean = false,
)

/** State of the leases of all duties, as derived from the log. */
public data class DutyTable(
    /** Lowest offset from which the reader has read the log without a gap. */
    public val readFrom: Offset,
    /** Lease of each duty that has a record in the log that was read. */
    public val leases: Map<DutyName, LeaseState> = emptyMap(),
) {
    /** Lease of [duty]; an empty state if the duty has no record. */
    public fun lease(duty: DutyName): LeaseState = leases[duty] ?: LeaseState()

    /**
     * True if [duty] certainly has no holder: the holder released it, or the log was read from its start and has no
     * record of the duty.
     */
    public fun isFree(duty: DutyName): Boolean {
        val lease = lease(duty)
        return lease.released || (readFrom == Offset.Start && lease.lastRecord == Offset.None)
    }
}
