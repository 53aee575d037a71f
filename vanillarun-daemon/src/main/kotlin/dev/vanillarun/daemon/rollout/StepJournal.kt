package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.RecordBody
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StepRunner
import dev.vanillarun.core.log.StepSubmission
import dev.vanillarun.core.sample.RunnerAddress
import dev.vanillarun.core.sample.StepKey
import dev.vanillarun.core.sample.StepLogState
import dev.vanillarun.core.sample.StepSpec
import dev.vanillarun.core.sample.StepSpecCodec

/** Result of reading a step's stream in the log. */
public sealed interface StepLookup {
    /** The stream was read to its end. */
    public data class Read(
        /** Specification and current runner, folded from the records. */
        public val log: StepLogState,
    ) : StepLookup

    /** The log could not be read, or refused the append. */
    public data class Unavailable(
        /** Error of the log as text. */
        public val reason: String,
    ) : StepLookup
}

/**
 * Stores steps in the platform's log, one stream for each step, so that any instance can continue a step whose
 * instance failed. An append takes effect only once it was read back.
 */
public class StepJournal(
    private val log: PlatformLog,
    private val writer: RecordWriter,
    private val self: () -> RunnerAddress,
) {
    /** Reads the stream of [key]; an unknown step gives a state without a specification. */
    public suspend fun find(key: StepKey): StepLookup = read(key, Offset.Start, StepLogState())

    /** Records [spec] with this instance as its runner, unless the step is already recorded. */
    public suspend fun submit(key: StepKey, spec: StepSpec): StepLookup {
        val before = find(key)
        if (before is StepLookup.Read && before.log.spec != null) return before
        if (before is StepLookup.Unavailable) return before
        val submission = StepSubmission(key.customer, key.trainer, key.step, StepSpecCodec.encode(spec))
        return appendAndRead(key, listOf(submission, runnerRecord(key)))
    }

    /** Records this instance as the runner of a step; the last runner record in the log wins. */
    public suspend fun takeOver(key: StepKey): StepLookup = appendAndRead(key, listOf(runnerRecord(key)))

    private fun runnerRecord(key: StepKey): StepRunner =
        self().let { StepRunner(key.trainer, key.step, it.instance, it.incarnation, it.address) }

    private suspend fun appendAndRead(key: StepKey, bodies: List<RecordBody>): StepLookup {
        val records = bodies.map { NewRecord(key.stream, RecordCodec.encode(writer.envelope(it))) }
        return when (val result = log.append(records)) {
            is AppendResult.Refused -> StepLookup.Unavailable(result.reason)
            is AppendResult.Appended, is AppendResult.InDoubt -> find(key)
        }
    }

    private tailrec suspend fun read(key: StepKey, from: Offset, seen: StepLogState): StepLookup =
        when (val page = log.read(setOf(key.stream), from)) {
            is ReadResult.Unavailable -> StepLookup.Unavailable(page.reason)

            is ReadResult.Truncated -> read(key, page.firstRetained, seen)

            is ReadResult.Page -> {
                val now = page.records.fold(seen, StepLogState::after)
                if (page.next >= page.end || page.next <= from) {
                    StepLookup.Read(now)
                } else {
                    read(key, page.next, now)
                }
            }
        }
}
