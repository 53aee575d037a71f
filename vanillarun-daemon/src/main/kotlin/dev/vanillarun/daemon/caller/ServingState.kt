package dev.vanillarun.daemon.caller

/** How an instance treats new requests while it drains. */
public enum class ServingState {
    /** Accepts requests and keeps connections open. */
    SERVING,

    /** Accepts requests; each response closes its connection, so that callers reconnect to other instances. */
    LEAVING,

    /** Rejects new requests at once as not run; requests that were accepted before continue. */
    REFUSING,
}
