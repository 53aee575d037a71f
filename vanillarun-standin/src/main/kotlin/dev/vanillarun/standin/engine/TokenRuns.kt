package dev.vanillarun.standin.engine

import kotlinx.coroutines.channels.ReceiveChannel

/** Greatest number of tokens of one stream event. */
private const val MAX_RUN = 64

/**
 * Adds the tokens that are ready and of the same version as those of [run].
 * Returns a token of another version if one was met.
 */
internal fun ReceiveChannel<Token>.takeReady(run: MutableList<Token>): Token? {
    while (run.size < MAX_RUN) {
        val token = tryReceive().getOrNull() ?: return null
        if (token.version != run.first().version) return token
        run.add(token)
    }
    return null
}
