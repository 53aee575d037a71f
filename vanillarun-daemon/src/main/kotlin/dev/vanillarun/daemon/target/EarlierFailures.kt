package dev.vanillarun.daemon.target

import dev.vanillarun.core.answer.AnswerIdentity

/** Failures that targets answered with, by address and request id; the newest [capacity] pairs. Thread-safe. */
internal class EarlierFailures(private val capacity: Int = 4_096) {
    private data class Sent(val address: String, val id: String)

    private val answers = LinkedHashMap<Sent, Set<AnswerIdentity>>()

    /** Answers of the target at [address] to earlier attempts of request [id]; none if it is null. */
    fun of(address: String, id: String?): Set<AnswerIdentity> =
        if (id == null) emptySet() else synchronized(answers) { answers[Sent(address, id)].orEmpty() }

    /** Remembers [answer] of the target at [address] to request [id], if the request may be sent there again. */
    fun add(address: String, id: String?, answer: AnswerIdentity) {
        if (id == null || !answer.leadsToRepetition) return
        val sent = Sent(address, id)
        synchronized(answers) {
            val known = answers.remove(sent).orEmpty()
            answers[sent] = known + answer
            if (answers.size > capacity) answers.remove(answers.keys.first())
        }
    }
}
