package dev.vanillarun.core.lease

import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.LeaseClaim
import dev.vanillarun.core.log.LeaseRelease
import dev.vanillarun.core.log.LeaseRenewal
import dev.vanillarun.core.log.LogReducer
import dev.vanillarun.core.log.Offset

/**
 * Folds claims, renewals and releases into the state of all leases.
 *
 * A claim is accepted if no other record of its duty lies between the offset that its writer had read and the offset of
 * the claim. The rule depends only on the records just before the claim, so readers that started at different offsets
 * of a truncated log agree on it. A renewal or release is accepted if its term is the latest and was not released.
 */
public object LeaseReducer : LogReducer<DutyTable> {
    override fun begin(from: Offset): DutyTable = DutyTable(readFrom = from)

    override fun truncate(state: DutyTable, firstRetained: Offset): DutyTable = begin(firstRetained)

    override fun apply(state: DutyTable, offset: Offset, envelope: Envelope): DutyTable =
        when (val body = envelope.body) {
            is LeaseClaim -> state.update(body.duty) { it.claim(state.readFrom, offset, envelope, body) }
            is LeaseRenewal -> state.update(body.duty) { it.renew(offset, envelope, body) }
            is LeaseRelease -> state.update(body.duty) { it.release(offset, body) }
            else -> state
        }

    private fun DutyTable.update(duty: DutyName, change: (LeaseState) -> LeaseState): DutyTable =
        copy(leases = leases + (duty to change(lease(duty))))

    private fun LeaseState.claim(readFrom: Offset, offset: Offset, envelope: Envelope, claim: LeaseClaim): LeaseState {
        val visible = claim.observed.next() >= readFrom
        if (!visible || lastRecord > claim.observed) return copy(lastRecord = offset)
        return LeaseState(offset, LeaseTerm(offset, claim.holder, claim.incarnation), extendedBy = envelope.id)
    }

    private fun LeaseState.renew(offset: Offset, envelope: Envelope, renewal: LeaseRenewal): LeaseState {
        val accepted = term?.number == renewal.term && !released
        return copy(lastRecord = offset, extendedBy = if (accepted) envelope.id else extendedBy)
    }

    private fun LeaseState.release(offset: Offset, release: LeaseRelease): LeaseState =
        copy(lastRecord = offset, released = released || term?.number == release.term)
}
