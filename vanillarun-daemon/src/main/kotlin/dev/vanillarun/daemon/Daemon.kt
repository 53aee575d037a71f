package dev.vanillarun.daemon

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.order.EngineOrdering
import dev.vanillarun.core.platform.InstanceDirectory
import dev.vanillarun.core.platform.TargetOrdering
import dev.vanillarun.core.platform.UsageReporting
import dev.vanillarun.core.platform.WeightStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import java.util.HexFormat
import kotlin.random.Random

/** Clients of the platform's services. An absent service is null and the features that need it are off. */
public class PlatformPorts(
    /** Shared append-only log: configuration, leases, claims, usage and steps of trainers. */
    public val log: PlatformLog,
    /** Registry of instances; null for an instance that is not registered and finds its peers by seeds only. */
    public val directory: InstanceDirectory? = null,
    /** Receiver of usage reports; null if this instance never sends one. */
    public val reporting: UsageReporting? = null,
    /** Receiver of orders for targets; null if this instance never sends one. */
    public val ordering: TargetOrdering? = null,
    /** Source of published weight versions; null if this instance rolls out no weights. */
    public val weights: WeightStore? = null,
    /** Client that orders weight loads from engines; null if this instance rolls out no weights. */
    public val engines: EngineOrdering? = null,
)

/** Starts instances inside the current process. */
public object Daemon {
    /** Starts an instance under a new random incarnation. [requestStop] runs at each `POST /drain` of an operator. */
    public suspend fun start(
        settings: DaemonSettings,
        ports: PlatformPorts,
        requestStop: () -> Unit = {},
    ): RunningDaemon {
        val incarnation = Incarnation(HexFormat.of().formatHex(Random.nextBytes(INCARNATION_BYTES)))
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        return RunningDaemon(settings, ports, incarnation, scope, requestStop).also { it.begin() }
    }

    private const val INCARNATION_BYTES = 6
}
