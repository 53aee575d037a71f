package dev.vanillarun.hosted.front

import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.record
import dev.vanillarun.daemon.caller.Connections

/** Reports what a drain has left unanswered. */
internal class DrainReport(
    private val connections: Connections,
    private val calls: CallCounter,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    /** Records `drain.call_cut` for at most [MAX_CALLS] calls that the end of the process cuts, then `drain.ended`. */
    fun record() {
        val unanswered = connections.unanswered(MAX_CALLS)
        val inProgress = calls.calls.toList()
        val byId = inProgress.filter { it.id != null }.associateBy { it.id }
        unanswered.forEach { request ->
            val passedOn = byId[request.id]?.passedOn
            val attributes = mapOf(
                "read_ms_ago" to "${request.age.inWholeMilliseconds}",
                "counted" to "${request.id in byId}",
                "passed_on_ms_ago" to "${passedOn?.let { (clock.now() - it.at).inWholeMilliseconds }}",
                "target" to "${passedOn?.target?.value}",
                "unflushed_bytes" to "${request.unflushedBytes}",
            )
            events.record("drain.call_cut", EventLinks(request = request.id), attributes)
        }
        val attributes = mapOf(
            "cut" to "${inProgress.size}",
            "unanswered" to "${connections.busy}",
            "uncounted" to "${unanswered.count { it.id !in byId }}",
            "connections" to "${connections.count}",
        )
        events.record("drain.ended", EventLinks(), attributes)
    }

    private companion object {
        const val MAX_CALLS = 50
    }
}
