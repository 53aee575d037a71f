package dev.vanillarun.daemon.fake

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Timeout for an expected event; far above the usual time, since tests check only that it happens. */
internal val eventTimeout: Duration = 40.seconds
