package dev.vanillarun.daemon

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.platform.InstanceDirectory
import dev.vanillarun.core.platform.InstanceListing
import dev.vanillarun.core.platform.ListedInstance
import dev.vanillarun.core.platform.ListedState
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.valueOrNull
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.dispatch.TargetPool
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlin.time.Duration.Companion.milliseconds

/** Registers this instance with the platform and polls the platform's list of instances and targets. */
internal class Announcer(
    private val directory: InstanceDirectory,
    private val settings: DaemonSettings,
    callerAddress: String,
    adminAddress: String,
    peerAddress: String,
    private val pool: TargetPool,
) {
    private val self = ListedInstance(
        id = InstanceId(settings.instance),
        dataCentre = DataCentre(settings.dataCentre),
        callerAddress = settings.advertised.caller.ifEmpty { callerAddress },
        peerAddress = peerAddress,
        adminAddress = settings.advertised.admin.ifEmpty { adminAddress },
    )
    private val latestListing = MutableStateFlow<InstanceListing?>(null)

    @Volatile
    private var state = ListedState.LIVE

    /** The list of the last successful poll; null before the first one. */
    val listing: StateFlow<InstanceListing?> = latestListing.asStateFlow()

    /** Registers and polls until cancelled. A failed registration is retried at the next poll. */
    suspend fun run(): Nothing {
        var announced = false
        while (true) {
            if (!announced && state == ListedState.LIVE) {
                announced = directory.announce(self) is PlatformResult.Answered
            }
            directory.list().valueOrNull()?.let(::applyListing)
            delay(settings.intervals.instanceListMs.milliseconds)
        }
    }

    private fun applyListing(listing: InstanceListing) {
        latestListing.value = listing
        val leaving = listing.targets.filter { it.state == ListedState.LEAVING }
        pool.markLeaving(leaving.mapTo(HashSet()) { it.id })
    }

    /** Registers this instance as leaving. Sent once, without retry; the result is ignored. */
    suspend fun leave() {
        state = ListedState.LEAVING
        directory.announce(self.copy(state = ListedState.LEAVING))
    }

    /** Removes this instance from the platform's list. Sent once, without retry; the result is ignored. */
    suspend fun end() {
        directory.withdraw(self.id)
    }
}
