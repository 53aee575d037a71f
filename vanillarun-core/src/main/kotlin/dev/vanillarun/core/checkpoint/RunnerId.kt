package dev.vanillarun.core.checkpoint

import kotlinx.serialization.Serializable

/** One run of the process of an instance. */
public data class RunnerId(
    /** Name of the instance. */
    public val instance: String,
    /** Start of the process in Unix milliseconds; a restart has a later one. */
    public val startedAt: Long,
) {
    override fun toString(): String = "$instance$SEPARATOR$startedAt"

    /** Parses the text form. */
    public companion object {
        private const val SEPARATOR = '@'

        /** Parses what [toString] returns; null if [text] has another form. */
        public fun parse(text: String): RunnerId? {
            val startedAt = text.substringAfterLast(SEPARATOR, "").toLongOrNull() ?: return null
            return RunnerId(text.substringBeforeLast(SEPARATOR), startedAt)
        }
    }
}

/** Sign of life of a runner, stored under the name of its instance. */
@Serializable
public data class RunnerBeat(
    /** Start of the process in Unix milliseconds. */
    public val startedAt: Long,
    /** Number of the beat, which grows by one with each. */
    public val number: Long,
    /** Time of the beat by the wall clock of the instance, in Unix milliseconds. */
    public val at: Long,
)
