package dev.vanillarun.core.claim

import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.LogReducer
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.log.RequestClaim
import dev.vanillarun.core.log.RequestOutcome
import dev.vanillarun.core.outcome.Execution

/**
 * Decides which claim holds a key: the first in log order, until an outcome releases it by saying that its request did
 * not run. The next claim in the log then holds the key; claims that lost before the release do not.
 *
 * Claims that the log no longer retains are dropped, which bounds how long an idempotency key is recognised.
 */
public object ClaimReducer : LogReducer<ClaimTable> {
    override fun begin(from: Offset): ClaimTable = ClaimTable()

    override fun truncate(state: ClaimTable, firstRetained: Offset): ClaimTable = state.dropBefore(firstRetained)

    override fun apply(state: ClaimTable, offset: Offset, envelope: Envelope): ClaimTable =
        when (val body = envelope.body) {
            is RequestClaim -> state.update(ClaimKey(body.keyHash)) { it.withClaim(offset, envelope.id, body) }
            is RequestOutcome -> state.update(ClaimKey(body.keyHash)) { it.withOutcome(body) }
            else -> state
        }.withLastRecord(offset, envelope)

    private fun ClaimTable.update(key: ClaimKey, change: (KeyClaims) -> KeyClaims): ClaimTable =
        copy(keys = keys.put(key, change(keys[key] ?: KeyClaims())))

    private fun ClaimTable.withLastRecord(offset: Offset, envelope: Envelope): ClaimTable {
        val hash = when (val body = envelope.body) {
            is RequestClaim -> body.keyHash
            is RequestOutcome -> body.keyHash
            else -> return this
        }
        return update(ClaimKey(hash)) { it.copy(lastRecord = offset) }
    }

    private fun KeyClaims.withClaim(offset: Offset, id: RecordId, body: RequestClaim): KeyClaims = when {
        id in inactive || holder?.id == id -> this

        holder != null -> copy(inactive = inactive.add(id))

        else -> {
            val running = ClaimProgress.Running(id.writer)
            copy(holder = HeldClaim(id, offset, RequestFingerprint(body.fingerprint), running))
        }
    }

    private fun KeyClaims.withOutcome(body: RequestOutcome): KeyClaims {
        val id = body.claim ?: holder?.id ?: return this
        val holds = holder?.id == id
        return when {
            body.execution == Execution.NOT_RUN ->
                copy(holder = holder.takeUnless { holds }, inactive = inactive.add(id))

            !holds -> this

            else -> copy(holder = holder.copy(progress = ClaimProgress.Finished(body.status, body.execution)))
        }
    }
}
