package dev.vanillarun.daemon.target

import dev.vanillarun.core.config.Target
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.URI
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checks whether a target accepts connections. */
public fun interface TargetProbe {
    /** True if a new connection to [target] was established. */
    public suspend fun accepts(target: Target): Boolean
}

/** Probe that opens and closes a TCP connection; false after [timeout] or an I/O error. */
public class ConnectProbe(private val selector: SelectorManager, private val timeout: Duration = 1.seconds) :
    TargetProbe {
    @OptIn(InternalAPI::class)
    override suspend fun accepts(target: Target): Boolean {
        val address = URI(target.address)
        return try {
            withTimeoutOrNull(timeout) {
                aSocket(selector).tcp().connect(address.host, address.port).close()
                true
            } ?: false
        } catch (_: IOException) {
            false
        }
    }
}
