package dev.vanillarun.core.log

import dev.vanillarun.core.config.ConfigPatch
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.outcome.Execution
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Typed content of a log record. Each reducer handles the types that it needs and ignores the others. */
@Serializable
public sealed interface RecordBody

/**
 * New revision of the configuration. It takes effect at its own offset if [base] is the revision in force at that
 * point.
 */
@Serializable
public sealed interface ConfigRevision : RecordBody {
    /** Offset of the revision that this one replaces; [Offset.None] for the first. */
    public val base: Offset

    /** Operator who published it, as given to the command-line tool. */
    public val author: String

    /** Reason for the change, as given by the operator. */
    public val message: String
}

/**
 * Revision that contains the whole configuration.
 *
 * It is valid only if [base] is the revision in force at its own offset.
 */
@Serializable
@SerialName("config.publication")
public data class ConfigPublication(
    /** Offset of the revision that this one replaces; [Offset.None] for the first. */
    override val base: Offset,
    /** Operator who published it, as given to the command-line tool. */
    override val author: String,
    /** Reason for the change, as given by the operator. */
    override val message: String,
    /** The whole configuration. */
    public val config: RolloutConfig,
) : ConfigRevision

/**
 * Revision that contains only the differences from the one at [base]. It is valid under the same condition as a
 * [ConfigPublication].
 */
@Serializable
@SerialName("config.change")
public data class ConfigChange(
    /** Offset of the revision that the patch applies to. */
    override val base: Offset,
    /** Operator who published it, as given to the command-line tool. */
    override val author: String,
    /** Reason for the change, as given by the operator. */
    override val message: String,
    /** Differences from the configuration at [base]. */
    public val patch: ConfigPatch,
) : ConfigRevision

/**
 * Copy of the revision in force, appended before the log drops the original.
 *
 * It is valid only if no other record of the stream lies between [observed] and its own offset.
 */
@Serializable
@SerialName("config.snapshot")
public data class ConfigSnapshot(
    /** Offset of the revision that was copied. */
    public val publication: Offset,
    /** Author of that revision. */
    public val author: String,
    /** Message of that revision. */
    public val message: String,
    /** The whole configuration of that revision. */
    public val config: RolloutConfig,
    /** Offset up to which the writer had read the stream when it made the copy. */
    public val observed: Offset = Offset.None,
) : RecordBody

/** Name of a duty, a task that at most one instance performs at a time, for instance `orders/torino` or `usage`. */
@Serializable
@JvmInline
public value class DutyName(
    /** Text of the name. */
    public val value: String,
) {
    override fun toString(): String = value
}

/**
 * Claim of the lease of a duty by a challenger. It is accepted if no other record of the duty lies between [observed]
 * and its own offset, which then is the number of the new term.
 */
@Serializable
@SerialName("lease.claim")
public data class LeaseClaim(
    /** Duty whose lease is claimed. */
    public val duty: DutyName,
    /** Instance that claims the lease. */
    public val holder: InstanceId,
    /** Run of that instance. */
    public val incarnation: Incarnation,
    /** Offset up to which the challenger had read the stream when it decided to claim. */
    public val observed: Offset,
) : RecordBody

/** Renewal of the lease that was won by the claim at offset [term]. */
@Serializable
@SerialName("lease.renewal")
public data class LeaseRenewal(
    /** Duty whose lease is renewed. */
    public val duty: DutyName,
    /** Offset of the accepted claim, which is the fencing token. */
    public val term: Offset,
) : RecordBody

/** Release of the lease before it expires, so that a successor need not wait. */
@Serializable
@SerialName("lease.release")
public data class LeaseRelease(
    /** Duty whose lease is released. */
    public val duty: DutyName,
    /** Offset of the accepted claim of the released term. */
    public val term: Offset,
) : RecordBody

/** Claim of an idempotency key by a request. The first claim in log order wins. */
@Serializable
@SerialName("request.claim")
public data class RequestClaim(
    /** Hash of customer, route and idempotency key. */
    public val keyHash: String,
    /** Hash of method, path and body. Using the same key for a different request is an error. */
    public val fingerprint: String,
) : RecordBody

/** Outcome of the request that won a claim. The outcome [Execution.NOT_RUN] frees the idempotency key. */
@Serializable
@SerialName("request.outcome")
public data class RequestOutcome(
    /** Hash of the [RequestClaim]. */
    public val keyHash: String,
    /** HTTP status that was sent to the caller. */
    public val status: Int,
    /** Whether a target ran the request. */
    public val execution: Execution,
    /** Claim that the outcome belongs to; null means the claim that currently holds the key. */
    public val claim: RecordId? = null,
) : RecordBody

/** A rollout step that was accepted from a trainer. */
@Serializable
@SerialName("rollout.submission")
public data class StepSubmission(
    /** Customer that the trainer belongs to. */
    public val customer: CustomerId,
    /** Name of the trainer. */
    public val trainer: String,
    /** Number of the step, chosen by the trainer. */
    public val step: Long,
    /** Body of the request of the trainer, unchanged. */
    public val request: String,
) : RecordBody

/** Takeover of a rollout step by an instance. The runner named by the last such record in log order runs the step. */
@Serializable
@SerialName("rollout.runner")
public data class StepRunner(
    /** Name of the trainer that submitted the step. */
    public val trainer: String,
    /** Number of the step. */
    public val step: Long,
    /** Instance that runs the step from this record on. */
    public val runner: InstanceId,
    /** Run of that instance. */
    public val incarnation: Incarnation,
    /** Address of the peer endpoint of the runner, `host:port`. */
    public val address: String,
) : RecordBody

/** Usage of one customer in one window or contribution. */
@Serializable
public data class UsageFigure(
    /** Customer that the usage is attributed to. */
    public val customer: CustomerId,
    /** Number of answered requests. */
    public val requests: Long,
    /** Number of prompt tokens. */
    public val promptTokens: Long,
    /** Number of generated tokens. */
    public val generatedTokens: Long,
)

/**
 * Usage counted by one instance since its previous contribution. It belongs to the window that is open at its offset.
 */
@Serializable
@SerialName("usage.contribution")
public data class UsageContribution(
    /** Usage by customer since the previous contribution of the instance. */
    public val figures: List<UsageFigure>,
) : RecordBody

/** Closes a window. Its figures are the sum of the contributions between the previous close and this offset. */
@Serializable
@SerialName("usage.close")
public data class UsageClose(
    /** Zero-based number of the window. Has no effect unless this is the open window. */
    public val window: Long,
    /** Fencing token of the lease of the reporter. */
    public val term: Offset,
) : RecordBody

/** Final figures of a window that was not yet reported. */
@Serializable
public data class ClosedWindow(
    /** Zero-based number of the window. */
    public val window: Long,
    /** Usage in the window, ordered by customer. */
    public val figures: List<UsageFigure>,
)

/** Last counted contribution of one run of an instance, by which readers recognise duplicates of it. */
@Serializable
public data class ContributionMark(
    /** Identity of the contribution. */
    public val id: RecordId,
    /** Window in which it was counted. */
    public val window: Long,
)

/**
 * Copy of all usage that was counted up to [observed] and not yet reported, appended before the log drops the
 * contributions.
 *
 * A reader that started at or before [observed] restores it and then counts again the records that it read after
 * [observed].
 */
@Serializable
@SerialName("usage.snapshot")
public data class UsageSnapshot(
    /** Offset up to which the writer had read the stream when it made the copy. */
    public val observed: Offset,
    /** Number of the open window. */
    public val window: Long,
    /** Usage that was counted in the open window, ordered by customer. */
    public val open: List<UsageFigure>,
    /** Windows that are closed and not yet reported, in ascending order. */
    public val closed: List<ClosedWindow>,
    /** Last counted contribution of each run. */
    public val marks: List<ContributionMark>,
) : RecordBody

/** Confirmation that the platform accepted the report of a window. */
@Serializable
@SerialName("usage.reported")
public data class UsageReported(
    /** Zero-based number of the window. */
    public val window: Long,
) : RecordBody

/** Crash of a target while it ran a request with this fingerprint, as observed by an instance. */
@Serializable
@SerialName("request.crash")
public data class CrashObservation(
    /** Hash of the content of the request. */
    public val fingerprint: String,
    /** Target that crashed. */
    public val target: TargetId,
) : RecordBody
