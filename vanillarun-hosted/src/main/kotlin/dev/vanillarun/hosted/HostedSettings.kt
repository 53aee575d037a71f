package dev.vanillarun.hosted

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.adapters.toml.TomlReader
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of an instance on a hosting platform. */
@Serializable
public data class HostedSettings(
    /** Name of the instance. */
    public val instance: String,
    /** Data centre that it stands in. */
    @SerialName("data_centre")
    public val dataCentre: String,
    /** Address for callers, `host:port`. */
    @SerialName("caller_address")
    public val callerAddress: String,
    /** Address for the balancer's question whether the instance is ready, `host:port`. */
    @SerialName("ready_address")
    public val readyAddress: String,
    /** Address for metrics, `host:port`. */
    @SerialName("admin_address")
    public val adminAddress: String,
    /** The hosting platform. */
    public val hosting: HostingSettings,
) {
    /** Reading of the settings. */
    public companion object {
        /** Reads [text], which problems attribute to [file], and checks every value. */
        public fun read(file: String, text: String): ReadOutcome<HostedSettings> =
            when (val read = TomlReader.read(file, text, serializer())) {
                is ReadOutcome.Rejected -> read

                is ReadOutcome.Read -> {
                    val problems = read.value.problems(file, read.lines)
                    if (problems.isEmpty()) read else ReadOutcome.Rejected(problems)
                }
            }
    }
}

/** What a hosting platform prescribes. */
@Serializable
public data class HostingSettings(
    /** Address of the store, `host:port`. */
    public val store: String,
    /** Address for usage reports and orders of targets, `host:port`. */
    public val control: String,
    /** Slots of a group at the store, and partitions of a topic. */
    public val slots: Int = 12,
    /** Length of a usage window, in seconds. */
    @SerialName("usage_window_s")
    public val usageWindowS: Int = 60,
    /** Time in which no two instances may take turns on a duty, in milliseconds. */
    @SerialName("lease_ms")
    public val leaseMs: Long = 3000,
    /** Time from the notice to stop until the process is killed, in seconds. */
    @SerialName("grace_s")
    public val graceS: Int = 8,
)

private const val LEAST_LEASE_MS = 500L
private val Ports = 1..65_535

private fun HostedSettings.problems(file: String, lines: Map<String, Int>): List<Problem> = buildList {
    fun check(key: String, good: Boolean, mend: String) {
        if (!good) add(Problem(file, key, mend, lines[key]))
    }
    check("instance", instance.isNotBlank(), "must not be empty; give the instance's name")
    check("data_centre", dataCentre.isNotBlank(), "must not be empty; give the data centre's name")
    val addresses = mapOf(
        "caller_address" to callerAddress,
        "ready_address" to readyAddress,
        "admin_address" to adminAddress,
        "hosting.store" to hosting.store,
        "hosting.control" to hosting.control,
    )
    addresses.forEach { (key, address) ->
        val port = address.substringAfterLast(':', "").toIntOrNull()
        check(key, port != null && port in Ports, "must be host:port with a port from 1 to 65535, not '$address'")
    }
    check("hosting.slots", hosting.slots > 0, "must be 1 or more")
    check("hosting.usage_window_s", hosting.usageWindowS > 0, "must be 1 or more")
    check("hosting.lease_ms", hosting.leaseMs >= LEAST_LEASE_MS, "must be $LEAST_LEASE_MS or more")
    check("hosting.grace_s", hosting.graceS > 0, "must be 1 or more")
}
