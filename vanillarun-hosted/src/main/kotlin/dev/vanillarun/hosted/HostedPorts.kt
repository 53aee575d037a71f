package dev.vanillarun.hosted

import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.daemon.target.TargetClient
import dev.vanillarun.hosted.catalog.CatalogCodec
import dev.vanillarun.hosted.duty.HostingCalls
import dev.vanillarun.hosted.front.CallerDialect
import dev.vanillarun.hosted.target.TargetDialect

/** Platform-specific implementations that a [HostedDaemon] uses. */
public class HostedPorts(
    /** Client of the platform's store, which holds all topics. */
    public val store: TopicLog,
    /** Decoder of the records that the operator and the targets write to the store. */
    public val codec: CatalogCodec,
    /** Protocol between callers and this instance. */
    public val callers: CallerDialect,
    /** Protocol between this instance and targets. */
    public val targets: TargetDialect,
    /** HTTP client for calls to targets. */
    public val client: TargetClient,
    /** Calls of the control duty to engines and to the platform. */
    public val calls: HostingCalls,
)
