package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.ConfigState
import dev.vanillarun.core.config.toSnapshot
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Appends periodic snapshots of the configuration in force; see [StreamSnapshotter]. */
public class ConfigSnapshotter(
    follower: LogFollower<ConfigState>,
    appender: LogAppender,
    writer: RecordWriter,
    interval: Duration = 60.seconds,
    random: Random = Random.Default,
) {
    private val snapshotter = StreamSnapshotter(
        stream = StreamName.Config,
        follower = follower,
        lastSnapshot = { it.lastSnapshot },
        createSnapshot = { it.toSnapshot() },
        appender = appender,
        writer = writer,
        interval = interval,
        random = random,
    )

    /** Appends snapshots until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing = snapshotter.run()
}
