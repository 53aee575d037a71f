package dev.vanillarun.standin.platform

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/** An entry instance, as the platform lists it. */
@Serializable
public data class ListedInstance(
    /** Identity. */
    public val id: String = "",
    /** Data centre. */
    public val dataCentre: String = "",
    /** Address for callers. */
    public val callerAddress: String = "",
    /** Address for other instances. */
    public val peerAddress: String = "",
    /** Address for operators. */
    public val adminAddress: String = "",
    /** `live` or `leaving`. */
    public val state: String = "live",
)

/** A target, as the platform lists it. */
@Serializable
public data class ListedTarget(
    /** Identity. */
    public val id: String = "",
    /** `live` or `leaving`. */
    public val state: String = "live",
)

/** Who is live and who leaves. */
public data class Membership(
    /** Instances by identity. */
    public val instances: PersistentMap<String, ListedInstance> = persistentMapOf(),
    /** Targets by identity. */
    public val targets: PersistentMap<String, ListedTarget> = persistentMapOf(),
)
