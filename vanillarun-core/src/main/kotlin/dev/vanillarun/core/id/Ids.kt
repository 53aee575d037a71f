package dev.vanillarun.core.id

import kotlinx.serialization.Serializable

/** Id of an entry instance, unique among running and recently stopped instances. */
@Serializable
@JvmInline
public value class InstanceId(
    /** Id as given by the settings or the platform. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Id of one process of an instance; each restart draws a new one. */
@Serializable
@JvmInline
public value class Incarnation(
    /** Random identifier drawn at process start. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Id of a customer in the published configuration or the catalog. */
@Serializable
@JvmInline
public value class CustomerId(
    /** Name as configured. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Id of a target: one model engine or one replica of a plain service. */
@Serializable
@JvmInline
public value class TargetId(
    /** Name as configured. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a route in the published configuration. */
@Serializable
@JvmInline
public value class RouteName(
    /** Name as configured. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Id of one exchange between a caller and the system, returned in the `X-Request-Id` header. */
@Serializable
@JvmInline
public value class RequestId(
    /** Opaque text. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Version of model weights as reported by an engine, ordered by [number]. */
@Serializable
@JvmInline
public value class WeightVersion(
    /** Version number; newer weights have a greater one. */
    public val number: Long,
) : Comparable<WeightVersion> {
    override fun compareTo(other: WeightVersion): Int = number.compareTo(other.number)

    override fun toString(): String = "v$number"
}
