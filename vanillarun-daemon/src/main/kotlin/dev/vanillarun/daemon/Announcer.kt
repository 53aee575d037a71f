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

/** Announces this instance to the platform and follows the platform's list of instances and targets. */
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

    /** The newest list, null until one was read. */
    val listing: StateFlow<InstanceListing?> = latestListing.asStateFlow()

    /** Announces and reads until cancelled. An announcement that failed is repeated. */
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

    /** Tells the platform that this instance is leaving. */
    suspend fun leave() {
        state = ListedState.LEAVING
        directory.announce(self.copy(state = ListedState.LEAVING))
    }

    /** Tells the platform that this instance has ended. */
    suspend fun end() {
        directory.withdraw(self.id)
    }
}
