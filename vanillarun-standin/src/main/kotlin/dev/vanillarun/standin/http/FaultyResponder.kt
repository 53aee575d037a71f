package dev.vanillarun.standin.http

import dev.vanillarun.standin.fault.Fault
import dev.vanillarun.standin.fault.FaultKind
import dev.vanillarun.standin.fault.FaultSwitch
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.RoutingCall
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.AttributeKey
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collectIndexed
import kotlin.time.Duration.Companion.milliseconds

/** Serves calls and lets the faults that are switched on happen to them. */
internal class FaultyResponder(private val faults: FaultSwitch, private val crash: () -> Unit) {
    private val crossing = CrossExchange()

    suspend fun answer(call: RoutingCall, exchange: Exchange, serve: suspend (Exchange) -> Reply) {
        if (call.channel().hasAttr(SILENT)) awaitCancellation()
        val fault = faults.take(exchange.operation, exchange.body)
        when (fault?.kind) {
            null -> send(call, serve(exchange))

            FaultKind.REFUSE -> send(call, Reply.refusal(UNAVAILABLE, "refused", retryAfterSeconds = 1))

            FaultKind.FAIL -> send(
                call,
                Reply.refusal(
                    if (exchange.operation ==
                        "orders"
                    ) {
                        BAD_GATEWAY
                    } else {
                        ERROR
                    },
                    "failed",
                ),
            )

            FaultKind.SLOW -> {
                delay(fault.delayMs.milliseconds)
                send(call, serve(exchange))
            }

            FaultKind.SILENCE -> {
                call.channel().attr(SILENT).set(true)
                awaitCancellation()
            }

            else -> after(fault, call, exchange, serve)
        }
    }

    private suspend fun after(
        fault: Fault,
        call: RoutingCall,
        exchange: Exchange,
        serve: suspend (Exchange) -> Reply,
    ) {
        if (fault.afterEvents == 0 && fault.kind == FaultKind.CRASH) crashNow()
        if (fault.afterEvents == 0 && fault.kind == FaultKind.HANG) awaitCancellation()
        when (val reply = serve(exchange)) {
            is Reply.Whole -> spoil(fault, call, reply)
            is Reply.Streamed -> spoil(fault, call, reply)
        }
    }

    private suspend fun spoil(fault: Fault, call: RoutingCall, reply: Reply.Whole) {
        when (fault.kind) {
            FaultKind.CROSS -> send(call, crossing.swap(reply, fault.crossTimeout()))
            FaultKind.CUT_SHORT -> cut(call, reply)
            FaultKind.CRASH -> crashNow()
            FaultKind.HANG -> awaitCancellation()
            else -> drop(call)
        }
    }

    private suspend fun spoil(fault: Fault, call: RoutingCall, reply: Reply.Streamed) {
        if (fault.kind == FaultKind.CROSS) return send(call, reply)
        reply.headers.forEach { (name, value) -> call.response.header(name, value) }
        val last = if (fault.kind == FaultKind.DROP_REPLY) 0 else maxOf(fault.afterEvents, 1)
        call.respondBytesWriter(ContentType.Text.EventStream) {
            reply.events.collectIndexed { at, event ->
                if (at >= last) end(fault, call)
                event(event)
            }
        }
    }

    private suspend fun end(fault: Fault, call: RoutingCall): Nothing = when (fault.kind) {
        FaultKind.HANG -> awaitCancellation()
        FaultKind.CRASH -> crashNow()
        else -> drop(call)
    }

    private suspend fun crashNow(): Nothing {
        crash()
        awaitCancellation()
    }

    private suspend fun drop(call: RoutingCall): Nothing {
        delay(FLUSH)
        call.channel().close()
        awaitCancellation()
    }

    private suspend fun send(call: RoutingCall, reply: Reply) {
        when (reply) {
            is Reply.Whole -> {
                reply.headers.forEach { (name, value) -> call.response.header(name, value) }
                val status = HttpStatusCode.fromValue(reply.status)
                call.respondBytes(reply.body.encodeToByteArray(), ContentType.parse(reply.contentType), status)
            }

            is Reply.Streamed -> {
                reply.headers.forEach { (name, value) -> call.response.header(name, value) }
                call.respondBytesWriter(ContentType.Text.EventStream) { reply.events.collect { event(it) } }
            }
        }
    }

    /** Writes the head and half of the body past the HTTP codec, then closes the connection. */
    private suspend fun cut(call: RoutingCall, reply: Reply.Whole): Nothing {
        val bytes = reply.body.encodeToByteArray()
        val head =
            buildString {
                append("HTTP/1.1 ${HttpStatusCode.fromValue(reply.status)}\r\n")
                append("Content-Type: ${reply.contentType}\r\nContent-Length: ${bytes.size}\r\n")
                reply.headers.forEach { (name, value) -> append("$name: $value\r\n") }
                append("\r\n")
            }
        val raw = Unpooled.wrappedBuffer(head.encodeToByteArray(), bytes.copyOf(bytes.size / 2))
        val codec = call.channel().pipeline().context(HttpServerCodec::class.java)
        codec.writeAndFlush(raw).addListener(ChannelFutureListener.CLOSE)
        awaitCancellation()
    }

    private suspend fun ByteWriteChannel.event(text: String) {
        writeStringUtf8(text)
        flush()
    }

    private fun RoutingCall.channel(): Channel = (pipelineCall.engineCall as NettyApplicationCall).context.channel()

    private fun Fault.crossTimeout() = (if (delayMs == 0L) CROSS_MILLIS else delayMs).milliseconds

    private companion object {
        const val UNAVAILABLE = 503
        const val ERROR = 500
        const val BAD_GATEWAY = 502
        const val CROSS_MILLIS = 1_000L
        val FLUSH = 20.milliseconds
        val SILENT: AttributeKey<Boolean> = AttributeKey.valueOf("vanillarun.standin.silent")
    }
}
