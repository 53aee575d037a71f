package dev.vanillarun.daemon

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.core.health.HealthSignal
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.membership.LoadPollers
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.caller.RequestIds
import dev.vanillarun.daemon.config.ConfigSource
import dev.vanillarun.daemon.dispatch.TargetState
import dev.vanillarun.daemon.peer.Gossip
import dev.vanillarun.daemon.peer.PeerContent
import dev.vanillarun.daemon.peer.PeerLinks
import dev.vanillarun.daemon.peer.PeerReply
import dev.vanillarun.daemon.peer.PeerServer
import dev.vanillarun.daemon.peer.PeerService
import dev.vanillarun.daemon.peer.PeerState
import dev.vanillarun.daemon.target.ConnectProbe
import dev.vanillarun.protocol.peers.v1.ProbeTargetRequest
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Builds and connects the components that communicate with other instances. */
internal class PeerSubsystem(
    private val settings: DaemonSettings,
    private val incarnation: Incarnation,
    private val scope: CoroutineScope,
    private val source: ConfigSource,
    writer: RecordWriter,
    /** gRPC connections to peers; closed with this object. */
    val links: PeerLinks,
    private val events: EventRecorder,
) : AutoCloseable {
    private val self = InstanceId(settings.instance)
    private val local = DataCentre(settings.dataCentre)
    private val pollers = LoadPollers()
    private val selector = SelectorManager(Dispatchers.IO)
    private val state = PeerState(source.follower, writer, links)
    private lateinit var server: PeerServer
    private lateinit var dataPath: DataPath

    /** Targets whose load this instance polls, as computed at [assignedAt]. */
    private class Assignment(val assignedAt: Instant, val targets: Set<TargetId>)

    @Volatile
    private var cachedAssignment: Assignment? = null

    /** Builds the content of heartbeats; set by [start]. */
    lateinit var content: PeerContent
        private set

    /** Exchanges instance summaries by heartbeats; set by [start]. */
    lateinit var gossip: Gossip
        private set

    /** Address for peers, `host:port`: the advertised one, or else the bound one. */
    val address: String get() = settings.advertised.peer.ifEmpty { server.address }

    /** True if this instance polls the load of [target]; the other instances receive it by gossip. */
    fun isMine(target: TargetState): Boolean = target.id in assignment()

    /** Targets whose load this instance polls, recomputed at most once per [ASSIGNMENT_TTL]. */
    private fun assignment(): Set<TargetId> {
        val now = SystemClock.now()
        val cached = cachedAssignment
        if (cached != null && now - cached.assignedAt < ASSIGNMENT_TTL) return cached.targets
        return computeAssignment(now).also { cachedAssignment = it }.targets
    }

    private fun computeAssignment(now: Instant): Assignment {
        val alive = gossip.members.alive(now)
        val idsByDataCentre = alive.groupBy({ it.dataCentre }, { it.summary?.id })
        val allAlive = alive.mapNotNull { it.summary?.id } + self
        val ownTargets = dataPath.pool.all().filter { target ->
            val targetDataCentre = target.target.dataCentre
            val localInstances = idsByDataCentre[targetDataCentre].orEmpty().filterNotNull()
            val candidates = if (targetDataCentre == local) localInstances + self else localInstances
            self in pollers.of(target.id, candidates.ifEmpty { allAlive })
        }
        return Assignment(now, ownTargets.mapTo(HashSet()) { it.id })
    }

    /** Creates the components that serve peers, then starts the server. Must run before [run]. */
    fun start(dataPath: DataPath, status: () -> PeerContent.Status) {
        this.dataPath = dataPath
        content = PeerContent(
            settings = settings,
            pool = dataPath.pool,
            limits = dataPath.limits,
            routeDemand = dataPath.queues::demand,
            crashes = dataPath.crashes,
            clock = SystemClock,
            status = status,
            isMine = ::isMine,
        )
        val heartbeat = settings.intervals.heartbeatMs.milliseconds
        gossip = Gossip(
            self = self,
            local = local,
            content = content,
            links = links,
            clock = SystemClock,
            random = Random.Default,
            interval = heartbeat,
            scope = scope,
            seeds = settings.seeds,
            events = events,
        )
        val probe = ConnectProbe(selector)
        val service = PeerService(gossip, state, dataPath.pool, probe, dataPath.rollouts, RequestIds(incarnation))
        server = PeerServer.start(settings.peerAddress, service)
        dataPath.limits.shares = { customer -> content.share(customer.value, aliveIds()) }
        dataPath.queues.shares = { route, demand -> content.routeShare(route, demand, aliveIds()) }
    }

    /** Ids of the other instances that membership considers alive. */
    fun aliveIds(): List<InstanceId> = gossip.members.alive(SystemClock.now()).mapNotNull { it.summary?.id }

    /** Starts the background loops: heartbeats, confirmation of failures, and state transfer from peers. */
    fun run(announcer: Announcer?) {
        scope.launch { gossip.run() }
        scope.launch { confirmSuspicions() }
        scope.launch { announcer?.listing?.collect { listing -> listing?.let(gossip::listed) } }
        scope.launch { state.fetchWhileNeeded(::candidates) }
    }

    private fun candidates(): List<String> {
        val callable = gossip.members.callable(SystemClock.now()).map { it.peerAddress }
        return (callable + settings.seeds).distinct() - address
    }

    /** Periodically asks a random peer to probe each target that this instance cannot reach. */
    private suspend fun confirmSuspicions(): Nothing {
        while (true) {
            delay(CONFIRMATION_INTERVAL)
            dataPath.pool.all().filter { it.health.needsConfirmation }.forEach { requestConfirmation(it) }
        }
    }

    private suspend fun requestConfirmation(target: TargetState) {
        val peer = gossip.members.alive(SystemClock.now()).randomOrNull() ?: return
        val request = ProbeTargetRequest.newBuilder().setTarget(target.id.value).build()
        val reply = (links.call(peer.peerAddress) { probeTarget(request) } as? PeerReply.Answered)?.value ?: return
        if (!reply.known) return
        val signal = if (reply.reachable) HealthSignal.PeerReachedTarget else HealthSignal.PeerConfirmedFailure
        target.signal(signal, SystemClock.now())
    }

    override fun close() {
        server.stop()
        links.close()
        selector.close()
    }

    private companion object {
        val CONFIRMATION_INTERVAL = 500.milliseconds

        /** Maximum age of a computed assignment of targets. */
        val ASSIGNMENT_TTL = 500.milliseconds
    }
}
