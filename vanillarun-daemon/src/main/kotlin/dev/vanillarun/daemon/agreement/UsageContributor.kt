package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.UsageContribution
import dev.vanillarun.core.log.UsageFigure
import dev.vanillarun.core.usage.mergedWith
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts the usage of one instance and contributes it to the open window in the log.
 *
 * The outcome of one contribution is known before the next is sent: after [AppendResult.InDoubt] the same record is
 * appended again, and readers count it once. An instance that is killed loses the usage counted since its last
 * contribution.
 */
public class UsageContributor(
    private val appender: LogAppender,
    private val writer: RecordWriter,
    private val interval: Duration = 10.seconds,
    private val random: Random = Random.Default,
) {
    private val pendingUsage = ConcurrentHashMap<CustomerId, UsageFigure>()
    private val sendLock = Mutex()
    private var inDoubt: Envelope? = null

    /** Adds [figure] to the next contribution of its customer. */
    public fun count(figure: UsageFigure) {
        pendingUsage.merge(figure.customer, figure) { a, b -> listOf(a).mergedWith(listOf(b)).single() }
    }

    /** Contributes at a jittered interval until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            delay(interval * random.nextDouble(from = 1 - JITTER, until = 1 + JITTER))
            flush()
        }
    }

    /** Contributes the usage counted so far; returns true if all of it is in the log. */
    public suspend fun flush(): Boolean = sendLock.withLock {
        val repeated = inDoubt
        if (repeated != null && !send(repeated)) return@withLock false
        val figures = drain()
        figures.isEmpty() || send(writer.envelope(UsageContribution(figures)))
    }

    /** Contributes the remaining usage at a planned stop; returns false if [timeout] passes first. */
    public suspend fun stop(timeout: Duration = 5.seconds): Boolean = withTimeoutOrNull(timeout) {
        while (!flush()) delay(RETRY_INTERVAL)
        true
    } ?: false

    private suspend fun send(envelope: Envelope): Boolean {
        val repeated = inDoubt != null
        inDoubt = envelope
        val result = appender.append(StreamName.Usage, envelope)
        val settled = result is AppendResult.Appended || (result is AppendResult.Refused && !repeated)
        if (settled) inDoubt = null
        if (settled && result is AppendResult.Refused) restore(envelope)
        return result is AppendResult.Appended
    }

    private fun drain(): List<UsageFigure> = pendingUsage.keys.sortedBy { it.value }.mapNotNull(pendingUsage::remove)

    private fun restore(envelope: Envelope) {
        (envelope.body as UsageContribution).figures.forEach(::count)
    }

    private companion object {
        const val JITTER = 0.2
        val RETRY_INTERVAL = 0.2.seconds
    }
}
