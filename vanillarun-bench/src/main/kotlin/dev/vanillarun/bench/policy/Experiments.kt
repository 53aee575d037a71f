package dev.vanillarun.bench.policy

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val TARGETS = 12
private const val MORE_TARGETS = 40
private const val MOST_TARGETS = 700
private const val STRAGGLERS = 0.02
private const val LARGE_STEP_GROUPS = 128
private const val LIVE_LOAD = 0.7

/** Step times of every selector and handout, as ratios to eager round robin and to the bound. */
internal fun stepExperiment(name: String, setup: StepSetup): Experiment = Experiment(name) { seeds ->
    val results =
        SelectorKind.entries.flatMap { kind ->
            Handout.entries.map { kind to it }
        }.associateWith { (kind, handout) ->
            seeds.map { StepScenario(setup, kind.create, handout, it).run() }
        }
    val baseline = results.getValue(SelectorKind.ROUND_ROBIN to Handout.EAGER)
    results.flatMap { (key, runs) ->
        val policy = "${key.first.label} ${key.second.label}"
        val toBaseline = runs.zip(baseline) { run, base -> run.stepSeconds / base.stepSeconds }
        listOf(
            figure(name, policy, "step time / round robin", toBaseline),
            figure(name, policy, "step time / bound", runs.map { it.stepSeconds / it.boundSeconds }),
            figure(name, policy, "attempts / sample", runs.map { it.attemptsPerSample }),
        )
    }
}

/** Latencies of every selector as ratios to round robin. */
internal fun liveExperiment(name: String, setup: LiveSetup): Experiment = Experiment(name) { seeds ->
    val results =
        SelectorKind.entries.associateWith { kind -> seeds.map { LiveScenario(setup, kind.create, it).run() } }
    val baseline = results.getValue(SelectorKind.ROUND_ROBIN)
    results.flatMap { (kind, runs) ->
        listOf(
            figure(name, kind.label, "p50 / round robin", runs.zip(baseline) { run, base -> run.p50 / base.p50 }),
            figure(name, kind.label, "p99 / round robin", runs.zip(baseline) { run, base -> run.p99 / base.p99 }),
        )
    }
}

/** All experiments. */
internal fun experiments(): List<Experiment> = routingExperiments() + callExperiments()

/** Experiments that measure processor time; they run one at a time. */
internal fun costExperiments(): List<Experiment> = listOf(
    selectionCost("cost of a selection, 12 targets", TARGETS),
    selectionCost("cost of a selection, 40 targets", MORE_TARGETS),
    selectionCost("cost of a selection, 700 targets", MOST_TARGETS),
    queueCost("cost of the queue, 200 waiting"),
)

private fun routingExperiments(): List<Experiment> {
    val equal = Fleets.equal(TARGETS)
    val unequal = Fleets.unequal(TARGETS)
    val fresh = ReportLag(500.milliseconds, 100.milliseconds)
    val stale = ReportLag(5.seconds, 3.seconds)
    val lying = unequal.mapIndexed { i, spec ->
        if (i % 2 ==
            0
        ) {
            spec.copy(lie = { 0 })
        } else {
            spec.copy(lie = { it * 5 + 9 })
        }
    }
    return listOf(
        stepExperiment("step, equal fleet", StepSetup(equal)),
        stepExperiment("step, unequal fleet", StepSetup(unequal)),
        stepExperiment("step of 1024, equal fleet", StepSetup(equal, groups = LARGE_STEP_GROUPS)),
        stepExperiment("step of 1024, unequal fleet", StepSetup(unequal, groups = LARGE_STEP_GROUPS)),
        stepExperiment("step, unequal, stragglers", StepSetup(unequal.map { it.copy(stragglerShare = STRAGGLERS) })),
        liveExperiment("live, equal, fresh reports", LiveSetup(equal, LIVE_LOAD, fresh)),
        liveExperiment("live, unequal, fresh reports", LiveSetup(unequal, LIVE_LOAD, fresh)),
        liveExperiment("live, unequal, stale reports", LiveSetup(unequal, LIVE_LOAD, stale)),
        liveExperiment("live, unequal, no reports", LiveSetup(unequal, LIVE_LOAD, null)),
        liveExperiment("live, unequal, lying reports", LiveSetup(lying, LIVE_LOAD, fresh)),
    )
}
