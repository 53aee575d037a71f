package dev.vanillarun.standin.http

import dev.vanillarun.standin.fault.Fault
import dev.vanillarun.standin.fault.FaultSwitch
import dev.vanillarun.standin.journal.Journal
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.SerializationException

/** The control endpoint of every stand-in. */
internal fun Route.controlRoutes(faults: FaultSwitch, journal: Journal) {
    post("/control/faults") { call.armFault(faults) }
    delete("/control/faults/{id}") {
        faults.disarm(call.parameters["id"].orEmpty())
        call.respondJson("{}")
    }
    delete("/control/faults") {
        faults.clear()
        call.respondJson("{}")
    }
    get("/control/journal") {
        val from = call.parameters["from"]?.toLongOrNull() ?: 0
        call.respondJson(wireJson.encodeToString(journal.entries(call.parameters["operation"], from)))
    }
}

private suspend fun ApplicationCall.armFault(faults: FaultSwitch) {
    try {
        faults.arm(wireJson.decodeFromString(Fault.serializer(), receiveText()))
        respondJson("{}")
    } catch (e: SerializationException) {
        respondJson(wireJson.encodeToString(mapOf("error" to e.message.orEmpty())), HttpStatusCode.BadRequest)
    }
}

private suspend fun ApplicationCall.respondJson(text: String, status: HttpStatusCode = HttpStatusCode.OK): Unit =
    respondText(text, ContentType.Application.Json, status)
