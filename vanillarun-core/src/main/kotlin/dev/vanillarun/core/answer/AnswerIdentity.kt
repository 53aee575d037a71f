package dev.vanillarun.core.answer

/** What an answer is known by again: its status and a digest of all its bytes, head and body. */
public data class AnswerIdentity(
    /** HTTP status code. */
    public val status: Int,
    /** Digest of the bytes as received. */
    public val digest: String,
) {
    /** True if the same request may be sent again, with the same id, after such an answer: a failure of the target. */
    public val leadsToRepetition: Boolean get() = leadsToRepetition(status)
}

/** True if a request may be sent again, with the same id, after an answer of [status]: a failure of the target. */
public fun leadsToRepetition(status: Int): Boolean = status >= FIRST_SERVER_ERROR && status != SERVICE_UNAVAILABLE

/**
 * True if this answer to an attempt may be a late copy of one to an [earlier] attempt of the same request at the same
 * target.
 *
 * An answer counts for an attempt if it names the attempt's request, if its connection carried the request's id for no
 * other attempt, and if it is not the same, byte for byte, as the failure that ended an earlier attempt there. One that
 * is the same counts only if no other answer follows it on its connection.
 */
public fun AnswerIdentity.mayBeCopy(earlier: Set<AnswerIdentity>): Boolean = leadsToRepetition && this in earlier

private const val FIRST_SERVER_ERROR = 500

/** Says that the request has not run; it comes often while targets are full, and no attempt ends by it. */
private const val SERVICE_UNAVAILABLE = 503
