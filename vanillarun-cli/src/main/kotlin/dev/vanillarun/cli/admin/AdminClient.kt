package dev.vanillarun.cli.admin

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A target as an instance sees it. */
@Serializable
internal data class TargetView(
    val target: String,
    @SerialName("in_flight") val inFlight: Int = 0,
    val standing: String = "healthy",
    val ejected: Boolean = false,
    val leaving: Boolean = false,
)

/** What an instance says of itself. */
@Serializable
internal data class InstanceView(
    val instance: String,
    @SerialName("data_centre") val dataCentre: String = "",
    @SerialName("config_offset") val configOffset: Long = -1,
    val draining: Boolean = false,
    val targets: List<TargetView> = emptyList(),
)

/** Outcome of a call to an instance's admin address. */
internal sealed interface AdminResult<out T> {
    /** The instance answered. */
    data class Answered<T>(val value: T) : AdminResult<T>

    /** It did not, or not with success. */
    data class Failed(val reason: String) : AdminResult<Nothing>
}

/** Calls to the admin addresses of instances. */
internal interface AdminClient {
    /** State of the instance at [address], `host:port`. */
    suspend fun status(address: String): AdminResult<InstanceView>

    /** Asks the instance at [address] to drain. */
    suspend fun drain(address: String): AdminResult<Unit>
}

/** Admin calls over HTTP. */
internal class HttpAdminClient(private val client: HttpClient, private val timeout: Duration = 3.seconds) :
    AdminClient {
    private val json = Json { ignoreUnknownKeys = true }

    override suspend fun status(address: String): AdminResult<InstanceView> =
        call({ client.get("http://$address/status") }) { json.decodeFromString(InstanceView.serializer(), it) }

    override suspend fun drain(address: String): AdminResult<Unit> = call({ client.post("http://$address/drain") }) {}

    private suspend fun <T> call(send: suspend () -> HttpResponse, decode: (String) -> T): AdminResult<T> = try {
        withTimeoutOrNull(timeout) {
            val response = send()
            val body = response.bodyAsText()
            if (response.status.isSuccess()) {
                AdminResult.Answered(decode(body))
            } else {
                AdminResult.Failed("status ${response.status.value}")
            }
        } ?: AdminResult.Failed("no answer within $timeout")
    } catch (e: IOException) {
        AdminResult.Failed(e.message ?: "connection lost")
    } catch (e: SerializationException) {
        AdminResult.Failed("unreadable answer: ${e.message}")
    }
}
