package dev.vanillarun.hosted.store

import dev.vanillarun.daemon.agreement.Backoff
import kotlin.time.Duration.Companion.milliseconds

/** Pause after the first failed call to the store. */
private val FIRST_PAUSE = 50.milliseconds

/** Longest pause; configuration has to be in force within 2 s of the store's return. */
private val LONGEST_PAUSE = 400.milliseconds

/** Pauses between calls to a store that does not answer. */
internal fun storeBackoff() = Backoff(FIRST_PAUSE, LONGEST_PAUSE)
