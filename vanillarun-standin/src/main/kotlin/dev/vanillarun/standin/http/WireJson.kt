package dev.vanillarun.standin.http

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** JSON as the protocols write it: snake case, unknown fields ignored, defaults written. */
@OptIn(ExperimentalSerializationApi::class)
public val wireJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    namingStrategy = JsonNamingStrategy.SnakeCase
}
