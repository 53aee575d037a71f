package dev.vanillarun.core.sample

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.log.StreamName

/** Identity of a step of rollouts. Its text form is `customer/trainer/step`. */
public data class StepKey(
    /** Customer whose key submitted the step. */
    public val customer: CustomerId,
    /** Name of the trainer, unique within the customer. */
    public val trainer: String,
    /** Number of the step, unique within the trainer. */
    public val step: Long,
) {
    /** Stream of the platform's log that holds the records of the step's submission and of its runners. */
    public val stream: StreamName get() = StreamName("rollout/$this")

    override fun toString(): String = "${customer.value}/$trainer/$step"
}
