package dev.vanillarun.standin.fault

import java.util.concurrent.atomic.AtomicReference

/** The faults of one running stand-in; safe for concurrent use. */
public class FaultSwitch {
    private val table = AtomicReference(FaultTable())

    /** Switches [fault] on. */
    public fun arm(fault: Fault) {
        table.updateAndGet { it.with(fault) }
    }

    /** Switches the fault of [id] off. */
    public fun disarm(id: String) {
        table.updateAndGet { it.without(id) }
    }

    /** Number of faults that still hit calls. */
    public val armed: Int get() = table.get().armed.size

    /** Switches all faults off. */
    public fun clear() {
        table.set(FaultTable())
    }

    /** Takes the fault that hits a call of [operation] with [body], if any. */
    public fun take(operation: String, body: String): Fault? {
        while (true) {
            val before = table.get()
            val taken = before.take(operation, body)
            if (table.compareAndSet(before, taken.table)) return taken.fault
        }
    }
}
