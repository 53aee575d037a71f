package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.claim.ClaimReducer
import dev.vanillarun.core.claim.ClaimTable
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.read
import dev.vanillarun.core.log.resume
import dev.vanillarun.core.log.start
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Reads claim streams on demand and caches the [maxStreams] most recently used ones. */
internal class ClaimStreams(private val log: PlatformLog, private val maxStreams: Int = 1024) {
    private class Stream {
        val lock = Mutex()
        var view: LogView<ClaimTable> = ClaimReducer.start()
    }

    private val lock = Mutex()
    private val streams = object : LinkedHashMap<StreamName, Stream>(maxStreams, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<StreamName, Stream>) = size > maxStreams
    }

    /**
     * Returns the claims of stream [name], or null if the log is unavailable. The stream is read to the end of the log,
     * unless [minOffset] is given and the cached state already includes the record at that offset.
     */
    suspend fun read(name: StreamName, minOffset: Offset?): ClaimTable? {
        val stream = lock.withLock { streams.getOrPut(name, ::Stream) }
        return stream.lock.withLock {
            if (minOffset != null && stream.view.next > minOffset) stream.view.state else stream.catchUp(name)
        }
    }

    private suspend fun Stream.catchUp(name: StreamName): ClaimTable? {
        while (true) {
            when (val result = log.read(setOf(name), view.next)) {
                is ReadResult.Page -> {
                    val newView = ClaimReducer.read(view, result)
                    view = newView.copy(state = newView.state.dropBefore(result.firstRetained))
                    if (view.next >= result.end) return view.state
                }

                is ReadResult.Truncated -> view = ClaimReducer.resume(view, result)

                is ReadResult.Unavailable -> return null
            }
        }
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}
