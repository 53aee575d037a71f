package dev.vanillarun.standin.demo

import dev.vanillarun.standin.fault.Fault
import dev.vanillarun.standin.fault.FaultKind

/** Faults that the demo can switch on; each hits a few calls. */
internal object DemoFaults {
    private const val CALLS = 4
    private const val APPENDS = 20
    private val broken = listOf(FaultKind.CROSS, FaultKind.DROP_REPLY, FaultKind.CUT_SHORT)

    /** Appends that take effect and lose their answers. */
    fun forPlatform(): List<Fault> = listOf(fault("log.append", FaultKind.DROP_REPLY, APPENDS))

    /** Crossed, lost and cut answers, and at engines answers that never come. */
    fun forTarget(kind: String): List<Fault> = when (kind) {
        "engine" -> (broken + FaultKind.HANG).map { fault("generate", it, CALLS) }
        else -> broken.map { fault("service", it, CALLS) }
    }

    private fun fault(operation: String, kind: FaultKind, calls: Int) =
        Fault(id = "demo-$operation-$kind", operation = operation, kind = kind, count = calls)
}
