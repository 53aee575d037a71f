package dev.vanillarun.standin.trainer

import kotlinx.serialization.Serializable

@Serializable
internal data class GroupRequest(
    val id: String,
    val prompt: String,
    val samples: Int,
    val maxTokens: Int,
    val seed: Long,
)

@Serializable
internal data class StepRequest(
    val trainer: String,
    val step: Long,
    val model: String,
    val version: Long,
    val maxVersionLag: Long,
    val deadlineMs: Long,
    val groups: List<GroupRequest>,
)

@Serializable
internal data class SamplesPage(
    val samples: List<DeliveredSample> = emptyList(),
    val cursor: String = "",
    val remaining: Int = 0,
    val done: Boolean = false,
)

@Serializable
internal data class PublishedVersion(val version: Long)
