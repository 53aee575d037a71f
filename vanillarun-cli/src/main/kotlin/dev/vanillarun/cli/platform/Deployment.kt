package dev.vanillarun.cli.platform

import dev.vanillarun.adapters.platform.HttpPlatform
import dev.vanillarun.adapters.platform.HttpPlatformLog
import dev.vanillarun.adapters.platform.platformHttpClient
import dev.vanillarun.cli.admin.AdminClient
import dev.vanillarun.cli.admin.HttpAdminClient
import dev.vanillarun.core.config.ConfigPublisher
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.platform.InstanceDirectory
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The running system as the tool reaches it.
 *
 * @param patience longest wait for the log, retries included
 */
internal class Deployment(
    val log: PlatformLog,
    val directory: InstanceDirectory,
    val admin: AdminClient,
    patience: Duration = DEFAULT_PATIENCE,
) {
    /** A publisher with a run of its own. */
    val publisher: ConfigPublisher =
        ConfigPublisher(log, RecordWriter(TOOL, Incarnation("${UUID.randomUUID()}")), patience)

    companion object {
        private val TOOL = InstanceId("vanillarun-cli")
        private val CALL_TIMEOUT = 5.seconds
        private val ADMIN_TIMEOUT = 3.seconds

        /** Patience of a command that is given none. */
        val DEFAULT_PATIENCE: Duration = 15.seconds

        /** Calls [block] with the deployment whose platform is at [base], and closes its connections afterwards. */
        suspend fun <T> use(base: String, patience: Duration = DEFAULT_PATIENCE, block: suspend (Deployment) -> T): T =
            platformHttpClient().use { client ->
                val call = minOf(CALL_TIMEOUT, patience)
                val log = HttpPlatformLog(client, base, call)
                val admin = HttpAdminClient(client, minOf(ADMIN_TIMEOUT, patience))
                block(Deployment(log, HttpPlatform(client, base, call), admin, patience))
            }
    }
}
