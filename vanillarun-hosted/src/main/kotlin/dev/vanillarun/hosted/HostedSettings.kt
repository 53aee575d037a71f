package dev.vanillarun.hosted

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.adapters.toml.TomlReader
import dev.vanillarun.core.store.AppendLimits
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.core.zone.Region
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
    /** Region of [dataCentre]; null if the platform names none. */
    public val region: String? = null,
    /** Addresses and intervals set by the hosting platform. */
    public val hosting: HostingSettings,
    /** Region of each data centre; empty if the platform has no regions. */
    public val regions: Map<String, String> = emptyMap(),
) {
    /** Region of each data centre that has one, [dataCentre] included. */
    public val regionOf: Map<DataCentre, Region>
        get() = (regions + listOfNotNull(region?.let { dataCentre to it }))
            .entries.associate { (name, region) -> DataCentre(name) to Region(region) }

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
    /** Factor by which the requests to a cold target may exceed the rate that it bears. */
    @SerialName("cold_over")
    public val coldOver: Double = 1.0,
    /** Requests per second to a cold target beyond that. */
    @SerialName("cold_slack")
    public val coldSlack: Double = 0.0,
    /** Time after which no request reaches an evacuated data centre, in milliseconds. */
    @SerialName("evacuate_ms")
    public val evacuateMs: Long = 5000,
    /** Time by which an unsteady store may extend [configMs] and [evacuateMs], in milliseconds. */
    @SerialName("outer_ms")
    public val outerMs: Long = 6000,
    /** Time after which a change of the catalog is in force on every instance, in milliseconds. */
    @SerialName("config_ms")
    public val configMs: Long = 2000,
) {
    /** Limits of the store on what is appended. */
    public val limits: AppendLimits get() = AppendLimits(recordBytes, appendBytes)
}

private const val MIN_LEASE_MS = 500L
private const val MIN_RECORD_BYTES = 4096

/** Longest time from a change in the store until an instance that reads without failures knows it. */
private const val MIN_CHANGE_MS = 500L
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
    val own = regions[dataCentre]
    check(
        "region",
        region == null || (region.isNotBlank() && (own == null || own == region)),
        "must not be empty, and must be the region of $dataCentre in [regions], '$own'",
    )
    regions.forEach { (name, region) ->
        check("regions.$name", name.isNotBlank() && region.isNotBlank(), "must name the region of a data centre")
    }
    addAll(hosting.problems(file, lines))
}

private fun HostingSettings.problems(file: String, lines: Map<String, Int>): List<Problem> = buildList {
    fun check(name: String, valid: Boolean, advice: String) {
        if (!valid) add(Problem(file, "hosting.$name", advice, lines["hosting.$name"]))
    }
    check("slots", slots > 0, "must be 1 or more")
    check("usage_window_s", usageWindowS > 0, "must be 1 or more")
    check("lease_ms", leaseMs >= MIN_LEASE_MS, "must be $MIN_LEASE_MS or more")
    check("drain_ms", drainMs >= 0, "must be 0 or more")
    check("record_bytes", recordBytes >= MIN_RECORD_BYTES, "must be $MIN_RECORD_BYTES or more")
    check(
        "append_bytes",
        appendBytes >= recordBytes,
        "must be hosting.record_bytes ($recordBytes) or more",
    )
    check("grace_s", graceS > 0, "must be 1 or more")
    check("cold_over", coldOver >= 1.0 && coldOver.isFinite(), "must be 1.0 or more")
    check("cold_slack", coldSlack >= 0.0 && coldSlack.isFinite(), "must be 0 or more")
    check("evacuate_ms", evacuateMs >= MIN_CHANGE_MS, "must be $MIN_CHANGE_MS or more")
    check("outer_ms", outerMs >= 0, "must be 0 or more")
    check("config_ms", configMs >= MIN_CHANGE_MS, "must be $MIN_CHANGE_MS or more")
}
