package dev.vanillarun.core.evacuation

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre

/** The operator's orders to send no requests to the targets of a data centre. Immutable. */
public data class Evacuations(
    /** Evacuated data centre by the key of the record that orders it. */
    public val requests: Map<String, DataCentre> = emptyMap(),
    /** Time at which this instance learned that the last evacuation of a data centre had ended. */
    public val endedAt: Map<DataCentre, Instant> = emptyMap(),
) {
    /** Data centres that are evacuated now. */
    public val dataCentres: Set<DataCentre> = requests.values.toSet()

    /** True if targets in [dataCentre] must get no requests. */
    public fun isEvacuated(dataCentre: DataCentre): Boolean = dataCentre in dataCentres

    /** Adds the record [key], which orders the evacuation of [dataCentre]. */
    public fun requested(key: String, dataCentre: DataCentre, now: Instant): Evacuations =
        with(requests + (key to dataCentre), now)

    /** Drops the record [key]; without effect if it orders no evacuation. */
    public fun withdrawn(key: String, now: Instant): Evacuations = with(requests - key, now)

    /** Drops all records but those with [keys], the ones in a complete snapshot of the topic. */
    public fun retained(keys: Set<String>, now: Instant): Evacuations = with(requests.filterKeys { it in keys }, now)

    private fun with(next: Map<String, DataCentre>, now: Instant): Evacuations {
        if (next == requests) return this
        val evacuated = next.values.toSet()
        return Evacuations(next, endedAt + (dataCentres - evacuated).associateWith { now } - evacuated)
    }
}
