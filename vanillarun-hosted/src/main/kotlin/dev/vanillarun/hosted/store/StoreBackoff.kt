package dev.vanillarun.hosted.store

import dev.vanillarun.daemon.agreement.Backoff
import kotlin.time.Duration.Companion.milliseconds

/** Maximum backoff after the first failed call to the store. */
private val INITIAL_BACKOFF = 50.milliseconds

/** Upper limit of the backoff; configuration has to be in force within 2 s of the store's recovery. */
private val MAX_BACKOFF = 400.milliseconds

/** Backoff between calls to a store that fails or does not respond. */
internal fun storeBackoff() = Backoff(INITIAL_BACKOFF, MAX_BACKOFF)
