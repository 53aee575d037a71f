package dev.vanillarun.adapters.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON format of request and response bodies: unknown fields are ignored, default values are encoded. */
internal val platformJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

@Serializable
internal data class NewRecordJson(val stream: String, val payload: String)

@Serializable
internal data class AppendRequestJson(val records: List<NewRecordJson>)

@Serializable
internal data class AppendResultJson(val first: Long)

@Serializable
internal data class StoredRecordJson(val offset: Long, val stream: String, val payload: String)

@Serializable
internal data class PageJson(
    val records: List<StoredRecordJson>,
    val next: Long,
    @SerialName("first_retained") val firstRetained: Long,
    val end: Long,
)

@Serializable
internal data class TruncationJson(@SerialName("first_retained") val firstRetained: Long)

@Serializable
internal data class ListedInstanceJson(
    val id: String,
    @SerialName("data_centre") val dataCentre: String,
    @SerialName("caller_address") val callerAddress: String,
    @SerialName("peer_address") val peerAddress: String,
    @SerialName("admin_address") val adminAddress: String,
    val state: String = LIVE,
)

@Serializable
internal data class ListedTargetJson(val id: String, val state: String)

@Serializable
internal data class InstanceListingJson(
    @SerialName("age_ms") val ageMs: Long = 0,
    val instances: List<ListedInstanceJson> = emptyList(),
    val targets: List<ListedTargetJson> = emptyList(),
)

@Serializable
internal data class TargetOrderJson(
    val id: String,
    @SerialName("data_centre") val dataCentre: String,
    val route: String,
    val desired: Int,
    val term: Long,
    val issuer: String,
)

@Serializable
internal data class UsageFigureJson(
    val customer: String,
    val requests: Long,
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("generated_tokens") val generatedTokens: Long,
)

@Serializable
internal data class UsageReportJson(
    val window: Long,
    val term: Long,
    val reporter: String,
    val figures: List<UsageFigureJson>,
)

@Serializable
internal data class WeightVersionsJson(val newest: Long? = null, val versions: List<Long> = emptyList())

internal const val LIVE = "live"
internal const val LEAVING = "leaving"
