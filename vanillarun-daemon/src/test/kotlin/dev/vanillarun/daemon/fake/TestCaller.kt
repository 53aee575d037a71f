package dev.vanillarun.daemon.fake

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.platform.UsageReporting
import dev.vanillarun.daemon.Daemon
import dev.vanillarun.daemon.PlatformPorts
import dev.vanillarun.daemon.RunningDaemon
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess

/** Runs [block] against a ready daemon; publishes [config] first if [log] is empty. */
suspend fun withDaemon(
    config: RolloutConfig,
    log: FakeLog = FakeLog(),
    settings: DaemonSettings = DaemonSettings("i1", "torino", platform = "http://127.0.0.1:1"),
    reporting: UsageReporting? = null,
    block: suspend TestCaller.(RunningDaemon) -> Unit,
) {
    if (log.isEmpty) log.publish(config)
    val daemon = Daemon.start(settings, PlatformPorts(log, reporting = reporting))
    val client = HttpClient(CIO)
    try {
        while (!client.get("http://${daemon.adminAddress}/readyz").status.isSuccess()) Unit
        TestCaller(client, "http://${daemon.callerAddress}", "http://${daemon.adminAddress}").block(daemon)
    } finally {
        client.close()
        daemon.stop()
    }
}

/** HTTP client of a daemon with the base URLs of its caller and admin servers. */
class TestCaller(val client: HttpClient, val base: String, val admin: String) {
    suspend fun adminText(path: String): String = client.get(admin + path).bodyAsText()
}
