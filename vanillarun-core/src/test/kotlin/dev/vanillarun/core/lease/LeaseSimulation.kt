package dev.vanillarun.core.lease

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordBody
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.applyRecord
import dev.vanillarun.core.time.Instant
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Interval of true time, in milliseconds, in which an order of [term] may take effect. */
internal data class OrderSpan(val term: Offset, val from: Long, val until: Long)

/** Result of one simulation; [longestVacancy] is the longest time without a holder that may act, in milliseconds. */
internal data class LeaseHistory(
    val maxActiveHolders: Int,
    val orders: List<OrderSpan>,
    val terms: Int,
    val longestVacancy: Long,
) {
    val overlaps: List<Pair<OrderSpan, OrderSpan>> = orders.flatMap { a ->
        orders.filter { b -> a.term < b.term && b.from < a.until }.map { a to it }
    }
}

/** Faults that a simulation injects. */
internal data class LeaseFaults(
    val pauses: Boolean = true,
    val appendFaults: Boolean = true,
    val outages: Boolean = true,
    /** Instances are killed, stopped and replaced at random. */
    val churn: Boolean = true,
    /** Time at which the holder is killed once, in milliseconds; null for never. */
    val killHolderAt: Long? = null,
    /** Time at which the holder is stopped as planned once, in milliseconds; null for never. */
    val stopHolderAt: Long? = null,
    /** Incorrect holder, which measures its term from after the response to its append. */
    val countsFromAck: Boolean = false,
)

/** Discrete-event simulation of instances with drifting clocks that share a log. Times are true time. */
internal class LeaseSimulation(private val random: Random, private val faults: LeaseFaults, instances: Int = 4) {
    private inner class Node(val name: String, val begin: Int) {
        val clockRate = 1 + random.nextDouble(-TIMING.drift / 2, TIMING.drift / 2)
        val clockOrigin = random.nextLong(1_000_000)
        val writer = RecordWriter(InstanceId(name), Incarnation(name))
        var view = LogView(LeaseReducer.begin(Offset(begin.toLong())), Offset(begin.toLong()))
        var participant = LeaseParticipant(DUTY, writer.writer, writer.incarnation, TIMING)
        var busyUntil = 0L
        var dead = false

        fun clock() = Instant(((clockOrigin + now * clockRate) * 1_000_000).toLong())

        fun isActive() = !dead && participant.mayAct(clock())
    }

    private class Event(val at: Long, val run: () -> Unit)

    private val queue = PriorityQueue<Event>(compareBy { it.at })
    private val log = mutableListOf<StoredRecord>()
    private val orders = mutableListOf<OrderSpan>()
    private val nodes = MutableList(instances) { Node("n$it", begin = 0) }
    private var now = 0L
    private var outageUntil = 0L
    private var maxActiveHolders = 0
    private var vacantSince = 0L
    private var longestVacancy = 0L

    fun run(length: Duration): LeaseHistory {
        nodes.toList().forEach { node -> schedule(random.nextLong(300)) { pollLog(node) } }
        faults.killHolderAt?.let { time ->
            schedule(time) { nodes.filter { it.isActive() }.forEach { it.dead = true } }
        }
        faults.stopHolderAt?.let { time -> schedule(time) { nodes.filter { it.isActive() }.forEach(::stop) } }
        if (faults.outages) schedule(random.nextLong(20_000)) { outage() }
        while (queue.isNotEmpty()) {
            val event = queue.poll()
            now = event.at
            if (now > length.inWholeMilliseconds) break
            event.run()
            recordObservation()
        }
        val terms = orders.map { it.term }.distinct().size
        return LeaseHistory(maxActiveHolders, orders, terms, longestVacancy)
    }

    private fun recordObservation() {
        val activeHolders = nodes.count { it.isActive() }
        maxActiveHolders = maxOf(maxActiveHolders, activeHolders)
        if (activeHolders > 0) vacantSince = now
        longestVacancy = maxOf(longestVacancy, now - vacantSince)
    }

    private fun schedule(delay: Long, run: () -> Unit) {
        queue += Event(now + delay, run)
    }

    private fun outage() {
        outageUntil = now + random.nextLong(100, 12_000)
        schedule(random.nextLong(15_000, 30_000)) { outage() }
    }

    /** Reads the log and decides once the response has arrived. */
    private fun pollLog(node: Node) {
        if (node.dead) return
        val seen = if (now < outageUntil) null else log.drop(node.view.next.value.toInt())
        schedule(random.nextLong(1, 60) + pause()) {
            if (node.dead) return@schedule
            if (seen != null) {
                node.view = seen.fold(node.view) { view, record -> LeaseReducer.applyRecord(view, record) }
                node.participant = node.participant.observe(node.view, node.clock())
            }
            decide(node)
            schedule(random.nextLong(20, 300)) { pollLog(node) }
        }
    }

    private fun decide(node: Node) {
        val term = node.participant.term
        if (term != null && now >= node.busyUntil && node.participant.mayAct(node.clock(), ORDER_DURATION)) {
            node.busyUntil = now + (ORDER_DURATION.toDouble(DurationUnit.MILLISECONDS) / node.clockRate).toLong()
            orders += OrderSpan(term, now, node.busyUntil + TIMING.maxEffectDelay.inWholeMilliseconds)
        }
        if (faults.churn && random.nextInt(200) == 0) replace(node)
        if (faults.churn && random.nextInt(200) == 0) stop(node)
        val settled = now >= node.busyUntil + TIMING.maxEffectDelay.inWholeMilliseconds
        if (node.participant.stopping && !settled) return
        node.participant.next(node.clock(), random.nextDouble())?.let { append(node, it) }
    }

    /** Kills [node] and starts another instance that reads a truncated log. */
    private fun replace(node: Node) {
        node.dead = true
        val successor = Node("${node.name}'", begin = random.nextInt(log.size + 1))
        nodes += successor
        schedule(random.nextLong(500)) { pollLog(successor) }
    }

    private fun stop(node: Node) {
        node.participant = node.participant.stop()
        schedule(5_000) { if (!node.dead) replace(node) }
    }

    private fun append(node: Node, body: RecordBody) {
        val envelope = node.writer.envelope(body)
        node.participant = node.participant.withSendTime(envelope.id, node.clock())
        val delay = random.nextLong(1, 60) + if (faults.appendFaults && random.nextInt(6) == 0) longDelay() else 0
        val copies = if (faults.appendFaults) listOf(0, 1, 1, 1, 1, 2).random(random) else 1
        repeat(copies) { copy ->
            schedule(delay + copy * random.nextLong(1, 4_000)) {
                if (now >= outageUntil) write(envelope.let(RecordCodec::encode))
                if (faults.countsFromAck) node.participant = node.participant.withSendTime(envelope.id, node.clock())
            }
        }
    }

    private fun write(payload: String) {
        log += StoredRecord(Offset(log.size.toLong()), StreamName.Duty, payload)
    }

    private fun longDelay() = random.nextLong(100, 9_000)

    private fun pause() = if (faults.pauses && random.nextInt(40) == 0) longDelay() else 0

    internal companion object {
        val DUTY = DutyName("usage")
        val ORDER_DURATION = 400.milliseconds
        val MAX_POLL_CYCLE = 360.milliseconds
        val MAX_APPEND_DELAY = 60.milliseconds
        val TIMING = LeaseTiming(
            term = 3_000.milliseconds,
            renewalInterval = 1_000.milliseconds,
            maxEffectDelay = 500.milliseconds,
            maxClaimJitter = 300.milliseconds,
            claimRetryInterval = 500.milliseconds,
        )
    }
}
