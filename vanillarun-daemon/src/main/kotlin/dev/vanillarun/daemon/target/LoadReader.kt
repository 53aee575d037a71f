package dev.vanillarun.daemon.target

import dev.vanillarun.core.config.Target
import dev.vanillarun.core.config.TargetKind
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.routing.LoadReport
import dev.vanillarun.core.time.MonotonicClock
import io.ktor.http.HeadersBuilder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Result of reading a target's load report. */
public sealed interface LoadReadResult {
    /** The target returned a report. */
    public data class Reported(
        /** Requests running and waiting, with the time at which the target measured them. */
        public val report: LoadReport,
        /** Weight version that an engine serves; null if the report names none, as for a service. */
        public val version: WeightVersion? = null,
    ) : LoadReadResult

    /** The target responded, but without a valid report. */
    public data object Alive : LoadReadResult

    /** No response within the timeout, or the connection failed. */
    public data object Silent : LoadReadResult
}

/** Reads load reports from targets; [timeout] bounds one whole read. */
public class LoadReader(
    private val client: TargetClient,
    private val clock: MonotonicClock,
    private val timeout: Duration = 1.seconds,
) {
    /** Requests the report of [target]. I/O errors and timeouts give [LoadReadResult.Silent]. */
    public suspend fun read(target: Target): LoadReadResult = try {
        withTimeoutOrNull(timeout) { fetch(target) } ?: LoadReadResult.Silent
    } catch (e: CancellationException) {
        throw e
    } catch (_: IOException) {
        LoadReadResult.Silent
    }

    private suspend fun fetch(target: Target): LoadReadResult {
        val path = if (target.kind == TargetKind.ENGINE) ENGINE_PATH else SERVICE_PATH
        val headers = HeadersBuilder()
        if (target.credential.isNotEmpty()) headers["Authorization"] = "Bearer ${target.credential}"
        val request = TargetRequest("GET", target.address.trimEnd('/') + path, headers.build())
        val exchange = client.exchange(request) { answer ->
            val body = answer.body.readAll()
            if (answer.status == OK && body != null) parse(body) else LoadReadResult.Alive
        }
        return (exchange as? ExchangeResult.Answered)?.value ?: LoadReadResult.Silent
    }

    private suspend fun ResponseBody.readAll(): ByteArray? {
        val collected = ByteArrayOutputStream()
        while (collected.size() <= MAX_REPORT_BYTES) {
            when (val part = next()) {
                is BodyPart.Bytes -> collected.writeBytes(part.bytes)
                is BodyPart.End -> return collected.toByteArray()
            }
        }
        return null
    }

    private fun parse(body: ByteArray): LoadReadResult = try {
        val wire = json.decodeFromString(LoadJson.serializer(), body.decodeToString())
        val running = wire.running ?: wire.inFlight ?: 0
        val report = LoadReport(running, wire.waiting, clock.now() - wire.ageMs.milliseconds)
        LoadReadResult.Reported(report, wire.version?.let(::WeightVersion))
    } catch (_: SerializationException) {
        LoadReadResult.Alive
    }

    private companion object {
        const val ENGINE_PATH = "/engine/load"
        const val SERVICE_PATH = "/service/load"
        const val MAX_REPORT_BYTES = 65_536
        const val OK = 200
        val json = Json { ignoreUnknownKeys = true }
    }
}

@Serializable
internal data class LoadJson(
    val version: Long? = null,
    val running: Int? = null,
    @SerialName("in_flight") val inFlight: Int? = null,
    val waiting: Int = 0,
    @SerialName("age_ms") val ageMs: Long = 0,
)
