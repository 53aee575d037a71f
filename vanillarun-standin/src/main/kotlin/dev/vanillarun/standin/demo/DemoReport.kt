package dev.vanillarun.standin.demo

import dev.vanillarun.standin.caller.CallEnd
import dev.vanillarun.standin.caller.CallerSummary
import dev.vanillarun.standin.journal.JournalEntry
import dev.vanillarun.standin.trainer.TrainerSummary

/** What the checks of the demo need to know. */
internal data class DemoOutcome(
    val trainer: TrainerSummary,
    val caller: CallerSummary,
    val engineCalls: List<JournalEntry>,
    val serviceCalls: List<JournalEntry>,
    val keys: List<String>,
    val drained: Boolean,
)

/** One figure of the table. */
internal data class DemoFigure(
    val row: String,
    val name: String,
    val value: String,
    /** True if the figure must be zero and is not. */
    val violated: Boolean = false,
)

/** Table and verdict of the demo. */
internal class DemoReport(private val outcome: DemoOutcome) {
    private val ran: Map<String, Int> =
        outcome.serviceCalls.filter { it.method == "POST" }.groupingBy { it.body }.eachCount()

    val figures: List<DemoFigure> = samples() + calls() + bookings() + security() + times()

    val passed: Boolean get() = figures.none { it.violated }

    fun table(): String = figures.groupBy { it.row }.entries.joinToString("\n") { (row, figures) ->
        val cells = figures.joinToString("  ") { "${it.name} ${it.value}${if (it.violated) " (must be 0)" else ""}" }
        "${row.padEnd(ROW_WIDTH)}$cells"
    }

    private fun samples(): List<DemoFigure> = with(outcome.trainer) {
        listOf(
            DemoFigure("samples", "delivered", "$delivered of $expected"),
            zero("samples", "duplicated", duplicated),
            zero("samples", "lost", lost),
            zero("samples", "stale", stale),
            zero("samples", "misattributed", misattributed),
            zero("samples", "damaged", damaged),
        )
    }

    private fun calls(): List<DemoFigure> = with(outcome.caller) {
        listOf(
            DemoFigure("calls", "served", "${ends.of(CallEnd.SERVED)} of $calls"),
            DemoFigure("calls", "refused", "${ends.of(CallEnd.NOT_RUN)}"),
            zero("calls", "failed", failedRepeatable),
            zero("calls", "wrong", ends.of(CallEnd.WRONG)),
        )
    }

    private fun bookings(): List<DemoFigure> {
        val ends = outcome.caller.bookings
        fun count(end: CallEnd, wanted: (Int) -> Boolean) = ends.count { (id, it) -> it == end && wanted(ran[id] ?: 0) }
        return listOf(
            DemoFigure("bookings", "served", "${count(CallEnd.SERVED) { true }} of ${ends.size}"),
            DemoFigure("bookings", "ran without answer", "${count(CallEnd.RAN) { true }}"),
            DemoFigure("bookings", "unknown", "${count(CallEnd.UNKNOWN) { true }}"),
            zero("bookings", "doubled", ran.values.count { it > 1 }),
            zero("bookings", "lost", count(CallEnd.SERVED) { it == 0 } + count(CallEnd.RAN) { it == 0 }),
            zero("bookings", "falsely not run", count(CallEnd.NOT_RUN) { it > 0 }),
        )
    }

    private fun security(): List<DemoFigure> {
        val seen = outcome.engineCalls + outcome.serviceCalls
        val leaked = seen.count { entry -> outcome.keys.any { it in entry.toString() } }
        return listOf(
            DemoFigure("targets", "calls", "${seen.size}"),
            zero("targets", "caller keys seen", leaked),
            zero("targets", "drain overrun", if (outcome.drained) 0 else 1),
        )
    }

    private fun times(): List<DemoFigure> {
        val steps = outcome.trainer.stepMs.sorted()
        val worst = outcome.caller.customers.maxByOrNull { it.p99Ms }
        return listOf(
            DemoFigure("trainer", "idle", "${outcome.trainer.idleMs} ms"),
            DemoFigure("trainer", "steps", "${steps.size}"),
            DemoFigure("trainer", "median step", "${steps.getOrNull(steps.size / 2) ?: 0} ms"),
            DemoFigure("trainer", "longest step", "${steps.lastOrNull() ?: 0} ms"),
            DemoFigure("worst customer", worst?.customer ?: "none", "p99 ${worst?.p99Ms?.toLong() ?: 0} ms"),
        )
    }

    private fun zero(row: String, name: String, value: Int) =
        DemoFigure(row, name, value.toString(), violated = value != 0)

    private fun Map<CallEnd, Int>.of(end: CallEnd): Int = this[end] ?: 0

    private companion object {
        const val ROW_WIDTH = 16
    }
}
