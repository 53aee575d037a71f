package dev.vanillarun.hosted

import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.daemon.target.TargetClient
import dev.vanillarun.hosted.catalog.CatalogCodec
import dev.vanillarun.hosted.duty.HostingCalls
import dev.vanillarun.hosted.front.CallerDialect
import dev.vanillarun.hosted.target.TargetDialect

/** All that an instance needs of the hosting platform. */
public class HostedPorts(
    /** Store. */
    public val store: TopicLog,
    /** Forms of what the operator and the targets write to the store. */
    public val codec: CatalogCodec,
    /** Speech of callers. */
    public val callers: CallerDialect,
    /** Speech of targets. */
    public val targets: TargetDialect,
    /** Connections to targets. */
    public val client: TargetClient,
    /** Calls of duties. */
    public val calls: HostingCalls,
)
