package dev.vanillarun.daemon.fake

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Time within which an event has to come; far above what it takes, since only its coming is checked. */
internal val eventTimeout: Duration = 40.seconds
