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
 * A publication is accepted if its base is the publication in force at its own offset. A snapshot is accepted if the
 * stream has no other record between the offset that its writer had read and its own. The second rule depends only on
 * records just before the snapshot, so readers whose log starts at different offsets agree on it. A reader without a
 * base decides on no publication, so all readers that decide on one agree on that too.
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
            is ConfigPublication -> state.applyPublication(offset, body)
            is ConfigChange -> state.applyChange(offset, body)
            is ConfigSnapshot -> state.applySnapshot(offset, body)
            else -> state
        }.copy(lastRecord = offset)

    override fun skip(state: ConfigState, offset: Offset): ConfigState = state.copy(lastRecord = offset)

    /** Initial view of a reader that got [snapshot] from a peer that had read all records before [next]. */
    public fun viewFromPeer(snapshot: ConfigSnapshot, next: Offset): LogView<ConfigState> {
        val state = ConfigState(readFrom = next, base = snapshot.publication, lastRecord = Offset(next.value - 1))
        return LogView(state.copy(inForce = snapshot.published().takeIf { it.publication != Offset.None }), next)
    }

    private fun ConfigState.applyPublication(offset: Offset, body: ConfigPublication): ConfigState {
        if (base == null) return addUnconfirmed(offset, body.base, body.author, body.message) { body.config }
        if (body.base != base) return this
        return copy(base = offset, inForce = PublishedConfig(offset, body.author, body.message, body.config))
    }

    private fun ConfigState.applyChange(offset: Offset, body: ConfigChange): ConfigState {
        if (base == null) return addUnconfirmed(offset, body.base, body.author, body.message) { it.patched(body.patch) }
        if (body.base != base) return this
        val before = if (base == Offset.None) RolloutConfig() else confirmed?.config
        if (before == null) return copy(base = null)
        val config = before.patched(body.patch)
        return copy(base = offset, inForce = PublishedConfig(offset, body.author, body.message, config))
    }

    private fun ConfigState.addUnconfirmed(
        offset: Offset,
        bodyBase: Offset,
        author: String,
        message: String,
        change: (RolloutConfig) -> RolloutConfig,
    ): ConfigState {
        val previous = unconfirmed?.takeIf { it.publication == bodyBase } ?: return this
        return copy(unconfirmed = PublishedConfig(offset, author, message, change(previous.config)))
    }

    private fun ConfigState.applySnapshot(offset: Offset, body: ConfigSnapshot): ConfigState {
        val gapless = body.observed.next() >= readFrom
        if (!gapless || lastRecord > body.observed) return this
        val served = inForce?.publication ?: Offset.None
        val published = if (body.publication > served) body.published() else inForce
        return copy(base = body.publication, inForce = published, unconfirmed = null, lastSnapshot = offset)
    }

    private fun ConfigSnapshot.published() = PublishedConfig(publication, author, message, config)
}

/**
 * Snapshot of [ConfigState.unconfirmed], which gives a base to all readers again after all have lost theirs; null if
 * this reader has a base or knows no publication.
 *
 * It must be appended only if no instance with a base has written a snapshot for longer than the interval between two
 * snapshots. Like every snapshot it has no effect if another record of the stream comes before it.
 */
public fun LogView<ConfigState>.toRecovery(): ConfigSnapshot? =
    state.unconfirmed?.takeUnless { state.hasBase }?.toSnapshot(observed = Offset(next.value - 1))

/** Snapshot of this state for the log or for a peer; null while the reader has no base, or not its configuration. */
public fun LogView<ConfigState>.toSnapshot(): ConfigSnapshot? {
    val base = state.base ?: return null
    val published = state.confirmed ?: PublishedConfig(Offset.None, author = "", message = "", config = RolloutConfig())
    return published.toSnapshot(observed = Offset(next.value - 1)).takeIf { published.publication == base }
}

private fun PublishedConfig.toSnapshot(observed: Offset) = ConfigSnapshot(
    publication = publication,
    author = author,
    message = message,
    config = config,
    observed = observed,
)
