package dev.vanillarun.core.zone

import kotlinx.serialization.Serializable

/** Name of a region, a group of data centres that requests of a route or customer may be bound to. */
@Serializable
@JvmInline
public value class Region(
    /** Configured name; never blank. */
    public val name: String,
) {
    init {
        require(name.isNotBlank()) { "the name of a region must not be blank" }
    }

    override fun toString(): String = name
}
