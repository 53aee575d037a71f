package dev.vanillarun.core.platform

import kotlin.time.Duration

/** Result of a call to the platform, by what is known about its effect. */
public sealed interface PlatformResult<out T> {
    /** The platform accepted the call and responded. */
    public data class Answered<out T>(
        /** Content of the response. */
        public val value: T,
    ) : PlatformResult<T>

    /** The platform rejected the call, which had no effect. */
    public data class Refused(
        /** Cause of the rejection, for logs and events. */
        public val reason: String,
        /** Minimum delay before a retry. */
        public val retryAfter: Duration,
    ) : PlatformResult<Nothing>

    /** The caller's [SendGuard] denied the call before the body was sent; the call had no effect. */
    public data object Withheld : PlatformResult<Nothing>

    /** The effect of the call is unknown: it may have been applied, or may still be applied later. */
    public data class InDoubt(
        /** Cause of the doubt, for logs and events. */
        public val reason: String,
    ) : PlatformResult<Nothing>
}

/** Applies [transform] to the content of an [PlatformResult.Answered] result; other results stay unchanged. */
public inline fun <A, B> PlatformResult<A>.map(transform: (A) -> B): PlatformResult<B> = when (this) {
    is PlatformResult.Answered -> PlatformResult.Answered(transform(value))
    is PlatformResult.Refused -> this
    is PlatformResult.Withheld -> this
    is PlatformResult.InDoubt -> this
}

/** Content of the response, or null if the call was not [PlatformResult.Answered]. */
public fun <T> PlatformResult<T>.valueOrNull(): T? = (this as? PlatformResult.Answered)?.value

/**
 * Last check before the body of a call is sent, for instance that a lease is still held.
 *
 * It runs after the connection is established and the headers are written, so a process that was paused before then
 * detects that its lease has expired before the call can take effect.
 */
public fun interface SendGuard {
    /** True if the body may be sent now. */
    public fun permits(): Boolean

    /** Predefined guards. */
    public companion object {
        /** Guard that permits every call. */
        public val Always: SendGuard = SendGuard { true }
    }
}
