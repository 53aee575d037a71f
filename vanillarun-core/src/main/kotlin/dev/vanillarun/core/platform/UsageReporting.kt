package dev.vanillarun.core.platform

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.UsageFigure
import kotlin.time.Duration

/** Usage of one closed window. */
public data class UsageReport(
    /** Sequence number of the window. */
    public val window: Long,
    /** Term of the lease under which the reporter holds the usage duty. */
    public val term: Offset,
    /** Instance that sends the report as holder of the duty. */
    public val reporter: InstanceId,
    /** Figures that the log recorded when the window was closed; they never change afterwards. */
    public val figures: List<UsageFigure>,
)

/** Client that sends usage reports to the platform. */
public fun interface UsageReporting {
    /**
     * Sends [report]; checks [guard] again before the body is sent.
     *
     * @param timeout time after which the connection is closed; must end before the reporter's lease expires
     */
    public suspend fun report(report: UsageReport, guard: SendGuard, timeout: Duration): PlatformResult<Unit>
}
