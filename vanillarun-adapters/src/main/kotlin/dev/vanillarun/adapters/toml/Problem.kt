package dev.vanillarun.adapters.toml

/** A mistake in a file or on the command line that an operator has to correct. */
public data class Problem(
    /** File name as it was passed to the tool; `flags` for the command line. */
    public val file: String,
    /** Key inside the file, for instance `targets[2].address`. */
    public val key: String,
    /** Describes the mistake and the allowed values. */
    public val message: String,
    /** Line number from 1, or null if unknown. */
    public val line: Int? = null,
) {
    override fun toString(): String = listOfNotNull(file, line).joinToString(":") + ": $key: $message"
}

/** Result of reading a typed value from text. */
public sealed interface ReadOutcome<out T> {
    /** The text is well formed and matches the type. */
    public data class Read<out T>(
        /** Value decoded from the text. */
        public val value: T,
        /** Line number of every key in the text; keys are paths such as `targets[2].address`. */
        public val lines: Map<String, Int> = emptyMap(),
    ) : ReadOutcome<T>

    /** The text is not valid; all problems that were found are listed, not only the first. */
    public data class Rejected(
        /** Problems found; never empty. Those from decoding one file are ordered by line. */
        public val problems: List<Problem>,
    ) : ReadOutcome<Nothing>
}
