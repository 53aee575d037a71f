package dev.vanillarun.daemon.forward

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.daemon.stream.TokenFigures

/** Receives the usage of every response that was delivered completely to a customer. */
public fun interface UsageSink {
    /** Records one call or sample of [customer]; [figures] is null if its tokens are not counted. */
    public fun answered(customer: CustomerId, figures: TokenFigures?)
}
