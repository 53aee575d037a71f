package dev.vanillarun.core.usage

import dev.vanillarun.core.log.UsageFigure

/** Adds the figures of each customer in both lists; one figure for each customer, ordered by customer. */
public fun List<UsageFigure>.mergedWith(other: List<UsageFigure>): List<UsageFigure> {
    val all = this + other
    return all
        .groupBy { it.customer }
        .map { (customer, figures) ->
            UsageFigure(
                customer = customer,
                requests = figures.sumOf { it.requests },
                promptTokens = figures.sumOf { it.promptTokens },
                generatedTokens = figures.sumOf { it.generatedTokens },
            )
        }
        .sortedBy { it.customer.value }
}
