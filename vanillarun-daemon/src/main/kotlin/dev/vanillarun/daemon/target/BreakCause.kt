package dev.vanillarun.daemon.target

import io.netty.handler.codec.PrematureChannelClosureException
import java.io.IOException

/** Why an exchange got no complete answer, as far as it tells whether the target may have crashed. */
public enum class BreakCause {
    /** The connection was closed or reset before the answer was complete: the target may have crashed. */
    CONNECTION_ENDED,

    /** The target sent what is no answer to the request, so that this side gave the connection up. */
    INVALID_ANSWER,

    /** The connection delivers nothing, while the target may be sound. */
    CONNECTION_SILENT,
}

/** Cause that an error of the transport or the decoder stands for. */
internal fun Throwable.breakCause(): BreakCause = when (this) {
    is IOException, is PrematureChannelClosureException -> BreakCause.CONNECTION_ENDED
    else -> BreakCause.INVALID_ANSWER
}
