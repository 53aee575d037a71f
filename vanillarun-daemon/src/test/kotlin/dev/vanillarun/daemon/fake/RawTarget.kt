package dev.vanillarun.daemon.fake

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Target that responds with raw bytes, which may be an incomplete HTTP message. Load requests get 404. */
class RawTarget(private val handle: Socket.(request: String) -> Unit) : AutoCloseable {
    val seen: MutableList<String> = CopyOnWriteArrayList()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    val address: String = "http://127.0.0.1:${server.localPort}"

    init {
        scope.launch {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                launch { socket.use { serve(it) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val request = readRequest(socket) ?: return
        if (" /engine/load " in request || " /service/load " in request) {
            socket.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        }
        seen += request
        runCatching { socket.handle(request) }
    }

    private fun readRequest(socket: Socket): String? {
        val text = StringBuilder()
        val buffer = ByteArray(8192)
        while (true) {
            val end = text.indexOf("\r\n\r\n")
            if (end >= 0) {
                val length = Regex("(?i)content-length: (\\d+)").find(text)?.groupValues?.get(1)?.toInt() ?: 0
                if (text.length >= end + 4 + length) return text.toString()
            }
            val count = socket.getInputStream().read(buffer)
            if (count < 0) return null
            text.append(String(buffer, 0, count, Charsets.ISO_8859_1))
        }
    }

    override fun close() {
        server.close()
        scope.cancel()
    }
}

fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
    getOutputStream().flush()
}

/** Value of the header [name] in a raw request. */
fun String.rawHeader(name: String): String? =
    lineSequence().firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
