package dev.vanillarun.daemon.admin

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.response.respondOutputStream
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** State of a target in the view of this instance. */
@Serializable
public data class TargetStatus(
    /** Id of the target in the configuration. */
    public val target: String,
    /** Requests that this instance has in flight at the target. */
    @SerialName("in_flight")
    public val inFlight: Int,
    /** Health of the target: a name of `Standing` in lower case. */
    public val standing: String = "healthy",
    /** True while the target is ejected and receives no new requests if another one is available. */
    public val ejected: Boolean = false,
    /** True if the platform lists the target as leaving, or the target announced it in a response. */
    public val leaving: Boolean = false,
    /** Path of the response in which the target announced its departure; null if none did. */
    @SerialName("departure_seen_by")
    public val departureSeenBy: String? = null,
)

/** A duty under whose lease this instance may act at the time of the snapshot. */
@Serializable
public data class HeldDuty(
    /** Name of the duty. */
    public val duty: String,
    /** Term of the lease, which serves as fencing token. */
    public val term: Long,
)

/** State of the instance, serialized as the response of `/status`. */
@Serializable
public data class InstanceStatus(
    /** Id of the instance from its settings. */
    public val instance: String,
    /** Random id of this process run, in hexadecimal. */
    public val incarnation: String,
    /** Data centre of the instance from its settings. */
    @SerialName("data_centre")
    public val dataCentre: String,
    /** Log offset of the active configuration; -1 before the first one. */
    @SerialName("config_offset")
    public val configOffset: Long,
    /** True once a drain has started. */
    public val draining: Boolean,
    /** Ids of the other instances that membership considers alive. */
    public val members: List<String> = emptyList(),
    /** All targets of the active configuration. */
    public val targets: List<TargetStatus> = emptyList(),
    /** Duties under whose lease this instance may act. */
    public val duties: List<HeldDuty> = emptyList(),
    /** Data centres whose targets get no requests by order of the operator. */
    public val evacuated: List<String> = emptyList(),
)

/** Serves health checks, metrics, status and drain requests to the platform and operators. */
public class AdminServer(
    private val registry: PrometheusRegistry,
    private val status: () -> InstanceStatus,
    private val requestDrain: () -> Unit = {},
) {
    private val json = Json { encodeDefaults = true }

    /** Installs the routes in [application]. `/readyz` responds 503 without a configuration or while draining. */
    public fun install(application: Application) {
        application.routing {
            get("/healthz") { call.respondText("ok\n") }
            get("/readyz") {
                val now = status()
                val ready = !now.draining && now.configOffset >= 0
                val code = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
                call.respondText(if (ready) "ready\n" else "not ready\n", status = code)
            }
            get("/metrics") {
                val writer = PrometheusTextFormatWriter.create()
                call.respondOutputStream(ContentType.parse(writer.contentType)) {
                    writer.write(this, registry.scrape())
                }
            }
            post("/drain") {
                requestDrain()
                call.respondText("{}", ContentType.Application.Json, HttpStatusCode.Accepted)
            }
            get("/status") { call.respondText(json.encodeToString(status()), ContentType.Application.Json) }
        }
    }
}
