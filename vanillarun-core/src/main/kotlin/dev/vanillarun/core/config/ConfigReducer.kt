package dev.vanillarun.core.config

import dev.vanillarun.core.log.ConfigChange
import dev.vanillarun.core.log.ConfigPublication
import dev.vanillarun.core.log.ConfigSnapshot
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.LogReducer
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset

/**
 * Decides which publication is in force.
 *
 * A publication is accepted if its base is the publication in force at its own position. A snapshot is accepted if no
 * other record of the stream lies between the position its writer had read and its own. The second rule looks only at
 * records that lie just before the snapshot, so that readers with different truncation agree on it; and since a
 * reader without a base judges no publication, all readers that judge one agree on that too.
 */
public object ConfigReducer : LogReducer<ConfigState> {
    override fun begin(from: Offset): ConfigState =
        ConfigState(readFrom = from, base = Offset.None.takeIf { from == Offset.Start })

    override fun truncate(state: ConfigState, firstRetained: Offset): ConfigState = begin(firstRetained).copy(
        inForce = state.inForce,
        unconfirmed = state.unconfirmed ?: state.inForce,
        lastSnapshot = state.lastSnapshot,
    )

    override fun apply(state: ConfigState, offset: Offset, envelope: Envelope): ConfigState =
        when (val body = envelope.body) {
            is ConfigPublication -> state.publish(offset, body)
            is ConfigChange -> state.change(offset, body)
            is ConfigSnapshot -> state.restore(offset, body)
            else -> state
        }.copy(lastRecord = offset)

    override fun skip(state: ConfigState, offset: Offset): ConfigState = state.copy(lastRecord = offset)

    /** View of a reader that was given [snapshot] by a peer that had read everything before [next]. */
    public fun viewFromPeer(snapshot: ConfigSnapshot, next: Offset): LogView<ConfigState> {
        val state = ConfigState(readFrom = next, base = snapshot.publication, lastRecord = Offset(next.value - 1))
        return LogView(state.copy(inForce = snapshot.published().takeIf { it.publication != Offset.None }), next)
    }

    private fun ConfigState.publish(offset: Offset, body: ConfigPublication): ConfigState {
        if (base == null) return presume(offset, body.base, body.author, body.message) { body.config }
        if (body.base != base) return this
        return copy(base = offset, inForce = PublishedConfig(offset, body.author, body.message, body.config))
    }

    private fun ConfigState.change(offset: Offset, body: ConfigChange): ConfigState {
        if (base == null) return presume(offset, body.base, body.author, body.message) { it.patched(body.patch) }
        if (body.base != base) return this
        val before = if (base == Offset.None) RolloutConfig() else winner?.config
        if (before == null) return copy(base = null)
        val config = before.patched(body.patch)
        return copy(base = offset, inForce = PublishedConfig(offset, body.author, body.message, config))
    }

    private fun ConfigState.presume(
        offset: Offset,
        bodyBase: Offset,
        author: String,
        message: String,
        change: (RolloutConfig) -> RolloutConfig,
    ): ConfigState {
        val known = unconfirmed?.takeIf { it.publication == bodyBase } ?: return this
        return copy(unconfirmed = PublishedConfig(offset, author, message, change(known.config)))
    }

    private fun ConfigState.restore(offset: Offset, body: ConfigSnapshot): ConfigState {
        val visible = body.observed.next() >= readFrom
        if (!visible || lastRecord > body.observed) return this
        val shown = inForce?.publication ?: Offset.None
        val published = if (body.publication > shown) body.published() else inForce
        return copy(base = body.publication, inForce = published, unconfirmed = null, lastSnapshot = offset)
    }

    private fun ConfigSnapshot.published() = PublishedConfig(publication, author, message, config)
}

/**
 * Snapshot of the newest publication that a reader knows who cannot judge any more, to let all judge again; null while
 * the reader judges, or knows of none.
 *
 * It may be appended only where no instance that judges has shown itself for longer than each of them waits between
 * two snapshots. Like each snapshot it has no effect if another record of the stream comes before it.
 */
public fun LogView<ConfigState>.toRecoverySnapshot(): ConfigSnapshot? =
    state.unconfirmed?.takeUnless { state.hasBase }?.toSnapshot(observed = Offset(next.value - 1))

/** Snapshot of this state for the log or for a peer; null while the state cannot judge publications. */
public fun LogView<ConfigState>.toSnapshot(): ConfigSnapshot? {
    val base = state.base ?: return null
    val published = state.winner ?: PublishedConfig(Offset.None, author = "", message = "", config = RolloutConfig())
    return published.toSnapshot(observed = Offset(next.value - 1)).takeIf { published.publication == base }
}

private fun PublishedConfig.toSnapshot(observed: Offset) = ConfigSnapshot(
    publication = publication,
    author = author,
    message = message,
    config = config,
    observed = observed,
)
