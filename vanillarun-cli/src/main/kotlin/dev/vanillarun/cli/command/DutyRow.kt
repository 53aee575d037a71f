package dev.vanillarun.cli.command

import dev.vanillarun.cli.output.table
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.cli.platform.LogScan
import dev.vanillarun.cli.platform.scan
import dev.vanillarun.core.lease.LeaseReducer
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.applyRecord
import kotlinx.serialization.Serializable

/** A duty and who holds its newest term, as far as the log tells; the term may have lapsed since. */
@Serializable
internal data class DutyRow(val duty: String, val holder: String, val term: Long, val released: Boolean)

/** Duties with an accepted claim in the log; empty while the log is away. */
internal suspend fun duties(deployment: Deployment): List<DutyRow> {
    val scan = deployment.log.scan(setOf(StreamName.Duty)) as? LogScan.Records ?: return emptyList()
    val start = LogView(LeaseReducer.begin(scan.from), scan.from)
    val table = scan.records.fold(start) { view, record -> LeaseReducer.applyRecord(view, record) }.state
    return table.leases.entries.mapNotNull { (duty, lease) ->
        lease.term?.let { DutyRow(duty.value, it.holder.value, it.number.value, lease.released) }
    }.sortedBy { it.duty }
}

/** Lines for a person; none where there is no duty. */
internal fun dutyTable(duties: List<DutyRow>): List<String> {
    if (duties.isEmpty()) return emptyList()
    val rows = duties.map { listOf(it.duty, it.holder, "${it.term}", if (it.released) "released" else "held") }
    return listOf("") + table(listOf(listOf("DUTY", "HOLDER", "TERM", "STATE")) + rows)
}
