package dev.vanillarun.core.config

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** One difference between two configurations. */
public sealed interface ConfigDifference {
    /** Element or field that differs, for instance `customer asl-to` or `target eng-1: concurrency`. */
    public val subject: String

    /** The element exists in the newer configuration only. */
    public data class Added(override val subject: String) : ConfigDifference

    /** The element exists in the older configuration only. */
    public data class Removed(override val subject: String) : ConfigDifference

    /** A field has different values in the two configurations. */
    public data class Changed(
        override val subject: String,
        /** Value in the older configuration. */
        public val before: String,
        /** Value in the newer configuration. */
        public val after: String,
    ) : ConfigDifference
}

/** Compares configurations by the ids of their elements; the order of elements counts for priority classes only. */
public object ConfigDiff {
    private const val REDACTED = "(secret)"
    private val json = Json { encodeDefaults = true }

    /** Differences from [before] to [after]; the values of credentials are replaced by a placeholder. */
    public fun between(before: RolloutConfig, after: RolloutConfig): List<ConfigDifference> = parts(before).let { old ->
        val new = parts(after)
        old.keys.union(new.keys).flatMap { subject -> compare(subject, old[subject], new[subject]) }
    }

    private fun compare(subject: String, before: JsonObject?, after: JsonObject?): List<ConfigDifference> = when {
        before == null -> listOf(ConfigDifference.Added(subject))

        after == null -> listOf(ConfigDifference.Removed(subject))

        else -> before.keys.filter { before[it] != after[it] }.map { field ->
            val secret = field == "credential"
            ConfigDifference.Changed(
                subject = "$subject: $field",
                before = if (secret) REDACTED else render(before.getValue(field)),
                after = if (secret) REDACTED else render(after.getValue(field)),
            )
        }
    }

    private fun parts(config: RolloutConfig): Map<String, JsonObject> = buildMap {
        for (customer in config.customers) {
            put("customer ${customer.id}", toJson(Customer.serializer(), customer.copy(keys = emptyList())))
            for (key in customer.keys) put("key ${key.id} of ${customer.id}", toJson(CustomerKey.serializer(), key))
        }
        config.routes.forEach { put("route ${it.name}", toJson(Route.serializer(), it)) }
        config.targets.forEach { put("target ${it.id}", toJson(Target.serializer(), it)) }
        config.priorities.forEachIndexed { rank, priority ->
            val fields = toJson(PriorityClass.serializer(), priority)
            put("priority ${priority.name}", JsonObject(fields + ("rank" to JsonPrimitive(rank))))
        }
        config.spending.forEach {
            put("spending on ${it.route} in ${it.dataCentre}", toJson(SpendingRule.serializer(), it))
        }
        config.evacuated.forEach { put("evacuation of $it", JsonObject(emptyMap())) }
    }

    private fun <T> toJson(type: KSerializer<T>, value: T): JsonObject =
        json.encodeToJsonElement(type, value) as JsonObject

    private fun render(value: JsonElement): String = when (value) {
        is JsonPrimitive -> value.contentOrNull ?: "null"
        is JsonArray -> value.joinToString(prefix = "[", postfix = "]", transform = ::render)
        is JsonObject -> value.toString()
    }
}
