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
    /** What differs, for instance `customer asl-to` or `target eng-1: concurrency`. */
    public val subject: String

    /** Only the newer configuration has it. */
    public data class Added(override val subject: String) : ConfigDifference

    /** Only the older configuration has it. */
    public data class Removed(override val subject: String) : ConfigDifference

    /** Both have it with different values. */
    public data class Changed(
        override val subject: String,
        /** Older value. */
        public val before: String,
        /** Newer value. */
        public val after: String,
    ) : ConfigDifference
}

/** Compares configurations by the identities of their parts; the order of parts counts for priorities only. */
public object ConfigDiff {
    private const val HIDDEN = "(secret)"
    private val json = Json { encodeDefaults = true }

    /** Changes that lead from [before] to [after]; credentials are hidden. */
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
                before = if (secret) HIDDEN else plain(before.getValue(field)),
                after = if (secret) HIDDEN else plain(after.getValue(field)),
            )
        }
    }

    private fun parts(config: RolloutConfig): Map<String, JsonObject> = buildMap {
        for (customer in config.customers) {
            put("customer ${customer.id}", tree(Customer.serializer(), customer.copy(keys = emptyList())))
            for (key in customer.keys) put("key ${key.id} of ${customer.id}", tree(CustomerKey.serializer(), key))
        }
        config.routes.forEach { put("route ${it.name}", tree(Route.serializer(), it)) }
        config.targets.forEach { put("target ${it.id}", tree(Target.serializer(), it)) }
        config.priorities.forEachIndexed { rank, priority ->
            val fields = tree(PriorityClass.serializer(), priority)
            put("priority ${priority.name}", JsonObject(fields + ("rank" to JsonPrimitive(rank))))
        }
        config.spending.forEach {
            put("spending on ${it.route} in ${it.dataCentre}", tree(SpendingRule.serializer(), it))
        }
    }

    private fun <T> tree(type: KSerializer<T>, value: T): JsonObject =
        json.encodeToJsonElement(type, value) as JsonObject

    private fun plain(value: JsonElement): String = when (value) {
        is JsonPrimitive -> value.contentOrNull ?: "null"
        is JsonArray -> value.joinToString(prefix = "[", postfix = "]", transform = ::plain)
        is JsonObject -> value.toString()
    }
}
