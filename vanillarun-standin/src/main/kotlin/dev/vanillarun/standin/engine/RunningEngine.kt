package dev.vanillarun.standin.engine

import dev.vanillarun.standin.fault.Fault
import dev.vanillarun.standin.fault.FaultKind
import dev.vanillarun.standin.fault.FaultSwitch
import dev.vanillarun.standin.http.Operation
import dev.vanillarun.standin.http.StandinServer
import dev.vanillarun.standin.journal.Journal
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel

/** A running engine stand-in. */
public class RunningEngine internal constructor(
    private val server: StandinServer,
    private val scope: CoroutineScope,
    private val loop: GenerationLoop,
) : AutoCloseable {
    /** Address, `host:port`. */
    public val address: String get() = server.address

    /** Faults that can be switched on. */
    public val faults: FaultSwitch get() = server.faults

    /** Calls that took effect. */
    public val journal: Journal get() = server.journal

    /** False once it is closed or has crashed. */
    public val running: Boolean get() = server.running

    /** Weight version that generates the next token. */
    public var version: Long by loop::version

    override fun close() {
        server.close()
        scope.cancel()
    }
}

/** Starts an engine stand-in. */
public fun startEngine(settings: EngineSettings = EngineSettings()): RunningEngine {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val loop = GenerationLoop(settings, scope)
    val server = StandinServer(settings.listen, engineOperations(settings, loop, scope)).start()
    if (settings.poison.isNotEmpty()) server.faults.arm(poison(settings.poison))
    return RunningEngine(server, scope, loop)
}

private fun poison(text: String) =
    Fault(id = "poison", operation = "generate", kind = FaultKind.CRASH, count = 0, match = text)

private fun engineOperations(settings: EngineSettings, loop: GenerationLoop, scope: CoroutineScope): List<Operation> {
    val state = EngineState(settings.models)
    val generate = GenerateService(settings, loop, state)
    val engine = EngineService(settings, loop, state, scope)
    return listOf(
        Operation("generate", HttpMethod.Post, "/v1/completions") { generate.serve(it, AnswerShape.COMPLETION) },
        Operation("generate", HttpMethod.Post, "/v1/chat/completions") { generate.serve(it, AnswerShape.CHAT) },
        Operation("cancel", HttpMethod.Post, "/engine/cancel") { generate.cancel(it) },
        Operation("models", HttpMethod.Get, "/v1/models") { engine.models() },
        Operation("load", HttpMethod.Get, "/engine/load") { engine.load() },
        Operation("orders", HttpMethod.Post, "/engine/orders") { engine.order(it) },
        Operation("cache", HttpMethod.Get, "/engine/cache/events") { engine.cacheEvents(it) },
        Operation("kv", HttpMethod.Get, "/engine/kv/{prefix}") { engine.exportKv(it) },
        Operation("kv", HttpMethod.Put, "/engine/kv/{prefix}") { engine.importKv(it) },
    )
}
