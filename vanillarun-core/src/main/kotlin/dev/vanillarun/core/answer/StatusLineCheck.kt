package dev.vanillarun.core.answer

/**
 * Fault of the lines of a response's head, [text], as received; null if they begin with the status line of HTTP/1, with
 * a status that HTTP defines, and hold no other.
 *
 * A head is made of two responses if a target sends the beginning of one, and then another as a whole. Wherever the
 * first is cut, the status line of the second follows within the text. Decoders drop parts of a head, for instance what
 * stands between a name and its colon, so that decoded fields do not show it.
 */
public fun statusLineFault(text: String): HeadFault? {
    val first = FirstLine.matchAt(text, 0)
        ?: return HeadFault.NoStatusLine(text.lineSequence().first().take(SHOWN_CHARACTERS))
    val status = first.groupValues[1].toInt()
    return when {
        !isKnownStatus(status) -> HeadFault.UnknownStatus(status)

        !mayHoldStatusLine(text, from = 1) -> null

        else -> StatusLine.find(text, startIndex = 1)?.let {
            HeadFault.SecondStatusLine(text.lineNumber(it.range.first))
        }
    }
}

/** True if [status] belongs to a class that HTTP defines, RFC 9110, section 15; others say nothing of a request. */
public fun isKnownStatus(status: Int): Boolean = status in KnownStatuses

private val KnownStatuses = 100..599

/** Tells texts that name no protocol from index [from] on, nearly all, at a fraction of the cost of [StatusLine]. */
internal fun mayHoldStatusLine(text: String, from: Int = 0): Boolean {
    var slash = text.indexOf('/', from)
    while (slash >= 0) {
        val start = slash - PROTOCOL.length
        if (start >= from && text.regionMatches(start, PROTOCOL, 0, PROTOCOL.length, ignoreCase = true)) return true
        slash = text.indexOf('/', slash + 1)
    }
    return false
}

private const val PROTOCOL = "HTTP"

private fun String.lineNumber(index: Int): Int = 1 + substring(0, index).count { it == '\n' }

/** Enough of a first line to recognize what was sent. */
private const val SHOWN_CHARACTERS = 40

/** RFC 9112, section 4. */
private val FirstLine = Regex("""HTTP/1\.[01] (\d{3})(?!\S)""")

/** Beginning of a status line with the case, spaces and numbers that lenient decoders accept. */
internal val StatusLine: Regex = Regex("""HTTP/\d+\.\d+\s+\+?\d+(?!\S)""", RegexOption.IGNORE_CASE)
