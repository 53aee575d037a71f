package dev.vanillarun.core.order

import dev.vanillarun.core.config.Target
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import kotlin.time.Duration

/** Request to an engine to load a weight version. */
public data class WeightOrder(
    /** Idempotency key; an engine ignores further orders with the same id. */
    public val id: String,
    /** Weight version that the engine is to load. */
    public val version: WeightVersion,
    /** Term of the issuer's lease; engines with fencing use it as the fencing token. */
    public val term: Offset,
    /** Instance that sends the order as holder of the duty. */
    public val issuer: InstanceId,
)

/** Client that sends weight orders to engines and reads the version that they serve. */
public interface EngineOrdering {
    /**
     * Sends [order] to [engine], checks [guard] again before the body is sent, and suspends until the load ends.
     *
     * The result is `Refused` if the engine rejected the order or if the load failed.
     *
     * @param timeout time after which the connection is closed; the engine may continue the load
     */
    public suspend fun loadWeights(
        engine: Target,
        order: WeightOrder,
        guard: SendGuard,
        timeout: Duration,
    ): PlatformResult<Unit>

    /** Reads the version that [engine] serves; null if it does not report one. */
    public suspend fun version(engine: Target): WeightVersion?
}
