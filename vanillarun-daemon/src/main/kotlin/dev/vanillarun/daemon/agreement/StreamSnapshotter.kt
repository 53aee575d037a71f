package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordBody
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Appends periodic snapshots of a stream, so that its state outlives the log's retention.
 *
 * After the newest snapshot that it has read, each instance waits for a random time between one and three [interval]s.
 * The instance whose wait ends first appends a snapshot; the others read it and restart their wait. [interval] must be
 * well below a quarter of the log's retention time.
 */
public class StreamSnapshotter<S>(
    private val stream: StreamName,
    private val follower: LogFollower<S>,
    private val lastSnapshot: (S) -> Offset,
    private val createSnapshot: (LogView<S>) -> RecordBody?,
    private val appender: LogAppender,
    private val writer: RecordWriter,
    private val interval: Duration = 60.seconds,
    private val random: Random = Random.Default,
) {
    /** Appends snapshots until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing {
        var lastSeen = Offset.None
        while (true) {
            val wait = interval * random.nextDouble(from = 1.0, until = MAX_WAIT_INTERVALS)
            val newerSnapshot = withTimeoutOrNull(wait) { follower.state.first { lastSnapshot(it.state) > lastSeen } }
            if (newerSnapshot == null) appendSnapshot()
            lastSeen = lastSnapshot(follower.state.value.state)
        }
    }

    private suspend fun appendSnapshot() {
        val observed = follower.state.value
        if (!observed.ready || !observed.reachable) return
        val body = createSnapshot(observed.view) ?: return
        appender.append(stream, writer.envelope(body))
    }

    private companion object {
        const val MAX_WAIT_INTERVALS = 3.0
    }
}
