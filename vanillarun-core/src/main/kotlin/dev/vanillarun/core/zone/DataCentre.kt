package dev.vanillarun.core.zone

import kotlinx.serialization.Serializable

/** Name of a data centre as given by the settings of a process, for instance `torino`. */
@Serializable
@JvmInline
public value class DataCentre(
    /** Configured name; never blank. */
    public val name: String,
) {
    init {
        require(name.isNotBlank()) { "the name of a data centre must not be blank" }
    }

    override fun toString(): String = name
}
