package dev.vanillarun.bench.policy

import dev.vanillarun.core.admission.Admission
import dev.vanillarun.core.admission.AdmissionQueue
import dev.vanillarun.core.admission.FairQueue
import dev.vanillarun.core.admission.FifoQueue
import dev.vanillarun.core.admission.PollResult
import dev.vanillarun.core.admission.Ticket
import dev.vanillarun.core.config.PriorityClass
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.retry.FailedAttempt
import dev.vanillarun.core.retry.GiveUpReason
import dev.vanillarun.core.retry.RetryBudget
import dev.vanillarun.core.retry.RetryDecision
import dev.vanillarun.core.retry.RetryPolicy
import dev.vanillarun.core.retry.RetryRules
import dev.vanillarun.core.routing.slowdown
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The queue disciplines that are compared. */
internal enum class QueueKind(val label: String) {
    /** First come, first served. */
    FIFO("fifo"),

    /** Fair between customers, with admission by deadline. */
    FAIR("fair"),
}

/** The ways to retry that are compared. */
internal enum class RetryKind(val label: String) {
    /** At once, as often as the attempts allow, on any target. */
    NAIVE("naive"),

    /** Within the budget, after a jittered wait, on another target. */
    BUDGETED("budgeted"),
}

/** Calls of one customer. */
internal data class CallStream(val customer: CustomerId, val perSecond: Double)

/** Conditions of a run of queued calls. */
internal data class CallSetup(
    val fleet: List<TargetSpec>,
    val streams: List<CallStream>,
    val instances: Int = 4,
    val duration: Duration = 300.seconds,
    val deadline: Duration = 30.seconds,
    val queueLimit: Int = 512,
    val meanTokens: Double = 60.0,
    val lost: DataCentre? = null,
)

/** Several customers' calls arrive at random instances, queue there, and are retried when a target goes away. */
internal class CallScenario(
    private val setup: CallSetup,
    private val selector: SelectorKind,
    private val queueKind: QueueKind,
    private val retryKind: RetryKind,
    private val seed: Int,
) {
    private class Request(val call: Call, val since: Instant) {
        val tried = HashSet<TargetId>()
        var attempts = 0
    }

    private val random = Random(seed)
    private val simulation = Simulation()
    private val targets = setup.fleet.map { ModelTarget(it, simulation, Random(random.nextInt())) }
    private val entries = List(setup.instances) { Entry() }
    private val tally = CallTally(setup)

    fun run(): CallTally {
        setup.streams.forEach { arrive(it, Random(it.customer.value.hashCode() + SEED_STEP * seed)) }
        setup.lost?.let { simulation.after(setup.duration / 2) { lose(it) } }
        simulation.run()
        return tally
    }

    private fun arriving(): Boolean = simulation.now.nanos < setup.duration.inWholeNanoseconds

    private fun lose(zone: DataCentre) {
        targets.filter { it.spec.dataCentre == zone && it.spec.reclaimable }.forEach { it.reclaim() }
    }

    /** Draws arrivals and sizes of each customer from a source of its own: they are the same beside any others. */
    private fun arrive(stream: CallStream, source: Random) {
        if (!arriving()) return
        val workload = Workload(source)
        val request = Request(Call(0, workload.size(setup.meanTokens)), simulation.now)
        tally.arrived(simulation.now)
        entries.random(source).accept(stream.customer, request)
        simulation.after(workload.pause(stream.perSecond)) { arrive(stream, source) }
    }

    private inner class Entry {
        private val lag = ReportLag(500.milliseconds, 100.milliseconds)
        private val instance =
            ModelInstance(simulation, targets, selector.create(Random(random.nextInt())), lag, { setup.instances }) {
                arriving()
            }
        private val queue: AdmissionQueue<Request> =
            when (queueKind) {
                QueueKind.FIFO -> FifoQueue(setup.queueLimit)
                QueueKind.FAIR -> FairQueue(listOf(Live), setup.queueLimit)
            }
        private val retries = RetryPolicy(Random(random.nextInt()))
        private var budget = RetryBudget(RetryRules())

        init {
            simulation.every(PUMP_INTERVAL, active = { arriving() || queue.size > 0 }) { pump() }
        }

        fun accept(customer: CustomerId, request: Request) {
            val expected = instance.profile(request.call).work
            val ticket = Ticket(request, customer, Live.name, expected, request.since + setup.deadline)
            when (queue.offer(ticket, simulation.now)) {
                Admission.Queued -> pump()
                is Admission.Refused -> tally.refused(customer)
            }
        }

        private fun pump() {
            while (queue.size > 0) {
                val open = instance.open()
                if (open.isEmpty()) return
                when (val departure = queue.poll(simulation.now, slowdown(open)) ?: return) {
                    is PollResult.Expired -> tally.refused(departure.ticket.customer)
                    is PollResult.Run -> first(departure.ticket, open)
                }
            }
        }

        private fun slowdown(open: Set<TargetId>): Duration =
            instance.views().slowdown(open, instance.profile(Call(0, 1)))

        private fun first(ticket: Ticket<Request>, open: Set<TargetId>) {
            budget = budget.firstAttempt()
            attempt(ticket, setup.fleet.map { it.id }.filterNotTo(HashSet()) { it in open })
        }

        private fun attempt(ticket: Ticket<Request>, excluded: Set<TargetId>) {
            val request = ticket.item
            val target = instance.choose(request.call, excluded) ?: instance.choose(request.call, request.tried)
            if (target == null) return finish(ticket, answered = false)
            request.attempts++
            request.tried += target.spec.id
            tally.attempted(simulation.now)
            instance.send(request.call, target) { _, answered ->
                if (answered) finish(ticket, answered = true) else failed(ticket)
                pump()
            }
        }

        private fun finish(ticket: Ticket<Request>, answered: Boolean) {
            queue.complete(ticket, ticket.item.call.outputTokens, simulation.now)
            tally.ended(ticket.customer, ticket.item.since, simulation.now, answered)
        }

        private fun failed(ticket: Ticket<Request>) {
            val request = ticket.item
            if (retryKind == RetryKind.NAIVE) {
                return if (request.attempts < MAX_ATTEMPTS) attempt(ticket, emptySet()) else finish(ticket, false)
            }
            val failure =
                FailedAttempt(
                    Execution.UNKNOWN,
                    idempotent = true,
                    attempts = request.attempts,
                    targetsLeft = setup.fleet.size - request.tried.size,
                    timeLeft = request.since + setup.deadline - simulation.now,
                )
            when (val decision = retries.decide(failure, budget)) {
                is RetryDecision.GiveUp ->
                    if (decision.reason == GiveUpReason.BUDGET && arriving()) {
                        simulation.after(BUDGET_WAIT) { failed(ticket) }
                    } else {
                        finish(ticket, answered = false)
                    }

                is RetryDecision.Retry -> {
                    budget = decision.budget
                    simulation.after(decision.delay) { attempt(ticket, request.tried) }
                }
            }
        }
    }

    private companion object {
        val Live = PriorityClass("live")
        val PUMP_INTERVAL = 50.milliseconds
        val BUDGET_WAIT = 500.milliseconds
        const val MAX_ATTEMPTS = 4
        const val SEED_STEP = 7919
    }
}
