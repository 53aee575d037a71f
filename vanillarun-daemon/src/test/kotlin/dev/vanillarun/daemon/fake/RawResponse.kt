package dev.vanillarun.daemon.fake

import java.net.Socket
import java.net.URI

/** A caller's response; [complete] tells whether its body ended as HTTP framing requires. */
data class RawResponse(val status: Int, val text: String, val complete: Boolean, val execution: String?)

/** Makes a call over a plain socket, since HTTP clients differ in which truncated responses they accept. */
fun rawCall(base: String, line: String, key: String, body: String = ""): RawResponse {
    val address = URI(base)
    Socket(address.host, address.port).use { socket ->
        socket.send(
            "$line HTTP/1.1\r\nHost: test\r\nConnection: close\r\nAuthorization: Bearer $key\r\n" +
                "Content-Length: ${body.length}\r\n\r\n$body",
        )
        val answer = String(socket.getInputStream().readAllBytes(), Charsets.ISO_8859_1)
        val head = answer.substringBefore("\r\n\r\n")
        val rest = answer.substringAfter("\r\n\r\n")
        val contentLength = head.rawHeader("Content-Length")?.toInt()
        val text = if (contentLength == null) unchunk(rest) else rest
        val complete = if (contentLength == null) rest.endsWith("0\r\n\r\n") else rest.length == contentLength
        val status = head.substringAfter(' ').substringBefore(' ').toInt()
        return RawResponse(status, text, complete, head.rawHeader("X-Vanillarun-Execution"))
    }
}

private fun unchunk(text: String): String = buildString {
    var left = text
    var size = chunkSize(left)
    while (size > 0) {
        append(left.substringAfter("\r\n").take(size))
        left = left.substringAfter("\r\n").drop(size + 2)
        size = chunkSize(left)
    }
}

private fun chunkSize(text: String): Int = text.substringBefore("\r\n").toIntOrNull(16) ?: 0
