package dev.vanillarun.bench.policy

import dev.vanillarun.core.admission.FairQueue
import dev.vanillarun.core.admission.Ticket
import dev.vanillarun.core.config.PriorityClass
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.routing.LoadReport
import dev.vanillarun.core.routing.RequestProfile
import dev.vanillarun.core.routing.TargetStats
import dev.vanillarun.core.routing.TargetView
import dev.vanillarun.core.time.Instant
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val CUSTOMERS = 8
private const val WAITING = 200
private const val DECISIONS = 50_000
private const val NANOS_PER_MICRO = 1e3
private const val WARM_COMPLETIONS = 99

/** Some time after the reports and observations, so that their decay has to be computed. */
private val DECIDED_AT = Instant(0) + 100.milliseconds

/** Processor time of one selection among as many targets as a small and the greatest deployment have. */
internal fun selectionCost(name: String, targets: Int): Experiment = Experiment(name) { seeds ->
    SelectorKind.entries.map { kind ->
        val costs =
            seeds.map { seed ->
                val random = Random(seed)
                val views = Fleets.unequal(targets).map { spec ->
                    val stats = TargetStats(
                        inFlight = random.nextInt(spec.slots),
                        secondsPerToken = 1 / spec.tokensPerSecond,
                        completions = WARM_COMPLETIONS,
                        report = LoadReport(0, takenAt = Instant(0), slowdown = 1 + random.nextDouble()),
                        observedAt = Instant(0),
                    )
                    TargetView(spec.id, spec.dataCentre, spec.slots, stats)
                }
                val selector = kind.create(random)
                val request = RequestProfile(promptTokens = 400, outputTokens = 60, prefix = "p")
                microsEach { selector.select(views, request, emptySet(), DECIDED_AT) }
            }
        figure(name, kind.label, "microseconds", costs)
    }
}

/** Processor time of one request's way through the fair queue, beside others that wait. */
internal fun queueCost(name: String): Experiment = Experiment(name) { seeds ->
    val costs =
        seeds.map { seed ->
            val random = Random(seed)
            val queue = FairQueue<Int>(listOf(PriorityClass("live"), PriorityClass("sync")), WAITING * 2)
            var number = 0
            fun offer() {
                val customer = CustomerId("c${number % CUSTOMERS}")
                val level = if (random.nextBoolean()) "live" else "sync"
                queue.offer(Ticket(number, customer, level, work = 60), Instant(number++.toLong()))
            }
            repeat(WAITING) { offer() }
            microsEach {
                offer()
                queue.poll(Instant(number.toLong()))?.let {
                    queue.complete(it.ticket, it.ticket.work, Instant(number.toLong()))
                }
            }
        }
    listOf(figure(name, QueueKind.FAIR.label, "microseconds", costs))
}

private fun microsEach(decision: () -> Unit): Double {
    repeat(DECISIONS) { decision() }
    val start = System.nanoTime()
    repeat(DECISIONS) { decision() }
    return (System.nanoTime() - start) / NANOS_PER_MICRO / DECISIONS
}
