package dev.vanillarun.core.answer

/** Searches text that arrives in parts for the beginning of a status line. */
public class StatusLineSearch {
    private var tail = ""

    /** True once the text has held the beginning of a status line. */
    public var found: Boolean = false
        private set

    /** Continues the search with [part]. */
    public fun feed(part: String) {
        if (found) return
        val text = tail + part
        found = mayHoldStatusLine(text) && StatusLine.containsMatchIn(text)
        tail = text.takeLast(MAX_CHARACTERS)
    }

    /** True if the beginning of a status line is found already, or stands across the end of the text and [next]. */
    public fun foundBefore(next: String): Boolean =
        found || StatusLine.find(tail + next.take(MAX_CHARACTERS))?.let { it.range.first < tail.length } == true

    private companion object {
        /** More than the beginning of a status line takes. */
        const val MAX_CHARACTERS = 32
    }
}
