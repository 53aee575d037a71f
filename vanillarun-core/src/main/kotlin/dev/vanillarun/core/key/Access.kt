package dev.vanillarun.core.key

import dev.vanillarun.core.config.Route
import dev.vanillarun.core.id.CustomerId

/** Decision on whether a request may use a route. */
public sealed interface Access {
    /** Access is granted on behalf of [customer]. */
    public data class Granted(
        /** Customer that owns the key of the request. */
        public val customer: CustomerId,
        /** Public identifier of the key; used to end the request if the key is withdrawn while it runs. */
        public val keyId: String,
    ) : Access

    /** Access is granted without a customer, because the route is open. */
    public data object Open : Access

    /** Access is denied. */
    public data class Denied(
        /** Reason of the denial. */
        public val reason: DenialReason,
    ) : Access
}

/** Reason for which a request may not use a route. */
public enum class DenialReason {
    /** The request carries no key. */
    MISSING_KEY,

    /** The key belongs to no customer. */
    UNKNOWN_KEY,

    /** The key was withdrawn. */
    WITHDRAWN_KEY,

    /** The key is valid, but the route does not list its customer. */
    ROUTE_NOT_ALLOWED,
}

/**
 * Decides whether a request that carries [key] may use [route].
 *
 * On an open route, a request without a valid key of an allowed customer is accepted and attributed to no customer.
 */
public fun KeyIndex.authorize(route: Route, key: String?): Access = authorizeHash(route, key?.let(KeyIndex::sha256))

/** Same as [authorize] for the SHA-256 hash of the key. Used to check the access of a running request again. */
public fun KeyIndex.authorizeHash(route: Route, keyHash: ByteArray?): Access {
    val access = when (val lookup = keyHash?.let(::findHash)) {
        null -> Access.Denied(DenialReason.MISSING_KEY)
        is KeyLookup.Unknown -> Access.Denied(DenialReason.UNKNOWN_KEY)
        is KeyLookup.Withdrawn -> Access.Denied(DenialReason.WITHDRAWN_KEY)
        is KeyLookup.Found -> grant(route, lookup)
    }
    return if (route.open && access is Access.Denied) Access.Open else access
}

private fun grant(route: Route, key: KeyLookup.Found): Access {
    val allowed = route.customers.isEmpty() || key.customer in route.customers
    return if (allowed) Access.Granted(key.customer, key.keyId) else Access.Denied(DenialReason.ROUTE_NOT_ALLOWED)
}
