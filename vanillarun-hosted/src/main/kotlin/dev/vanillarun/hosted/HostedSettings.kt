package dev.vanillarun.hosted

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.adapters.toml.TomlReader
import dev.vanillarun.core.store.AppendLimits
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of one instance on a hosting platform, read from a TOML file. */
@Serializable
public data class HostedSettings(
    /** Name of the instance; must differ from the names of all others. */
    public val instance: String,
    /** Data centre in which the instance runs. */
    @SerialName("data_centre")
    public val dataCentre: String,
    /** Listen address for callers, `host:port`. */
    @SerialName("caller_address")
    public val callerAddress: String,
    /** Listen address for the load balancer's readiness probe, `host:port`. */
    @SerialName("ready_address")
    public val readyAddress: String,
    /** Listen address for metrics and status, `host:port`. */
    @SerialName("admin_address")
    public val adminAddress: String,
    /** Addresses and intervals set by the hosting platform. */
    public val hosting: HostingSettings,
) {
    /** Reads and validates settings. */
    public companion object {
        /** Reads and validates the TOML [text]; [file] is its name in the reported problems. */
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

/** Addresses and intervals set by the hosting platform. */
@Serializable
public data class HostingSettings(
    /** Address of the store, `host:port`. */
    public val store: String,
    /** Address of the platform's API for usage reports and target orders, `host:port`. */
    public val control: String,
    /** Number of slots of a group at the store, which is also the number of partitions of a topic. */
    public val slots: Int = 12,
    /** Length of a usage window, in seconds. */
    @SerialName("usage_window_s")
    public val usageWindowS: Int = 60,
    /** Period within which two instances must not alternate on a duty, in milliseconds. */
    @SerialName("lease_ms")
    public val leaseMs: Long = 3000,
    /** Time from the stop signal until the platform kills the process, in seconds. */
    @SerialName("grace_s")
    public val graceS: Int = 8,
    /** Time for which a target that announced its departure may get requests if there is no other, in milliseconds. */
    @SerialName("drain_ms")
    public val drainMs: Long = 2000,
    /** Maximum size of a record of the store, in bytes. */
    @SerialName("record_bytes")
    public val recordBytes: Int = 262_144,
    /** Maximum size of all records of one append to the store, in bytes. */
    @SerialName("append_bytes")
    public val appendBytes: Int = 2_097_152,
) {
    /** Limits of the store on what is appended. */
    public val limits: AppendLimits get() = AppendLimits(recordBytes, appendBytes)
}

private const val MIN_LEASE_MS = 500L
private const val MIN_RECORD_BYTES = 4096
private val ValidPorts = 1..65_535

private fun HostedSettings.problems(file: String, lines: Map<String, Int>): List<Problem> = buildList {
    fun check(key: String, valid: Boolean, advice: String) {
        if (!valid) add(Problem(file, key, advice, lines[key]))
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
        check(key, port != null && port in ValidPorts, "must be host:port with a port from 1 to 65535, not '$address'")
    }
    check("hosting.slots", hosting.slots > 0, "must be 1 or more")
    check("hosting.usage_window_s", hosting.usageWindowS > 0, "must be 1 or more")
    check("hosting.lease_ms", hosting.leaseMs >= MIN_LEASE_MS, "must be $MIN_LEASE_MS or more")
    check("hosting.drain_ms", hosting.drainMs >= 0, "must be 0 or more")
    check("hosting.record_bytes", hosting.recordBytes >= MIN_RECORD_BYTES, "must be $MIN_RECORD_BYTES or more")
    check(
        "hosting.append_bytes",
        hosting.appendBytes >= hosting.recordBytes,
        "must be hosting.record_bytes (${hosting.recordBytes}) or more",
    )
    check("hosting.grace_s", hosting.graceS > 0, "must be 1 or more")
}
