package dev.vanillarun.daemon.target

import dev.vanillarun.daemon.fake.send
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import java.io.File
import java.net.InetAddress
import java.security.KeyStore
import javax.net.ssl.KeyManagerFactory
import javax.net.ssl.SSLContext
import javax.net.ssl.TrustManagerFactory

private const val PASSWORD = "changeit"

/** Keys of a server whose certificate names [address], and trust in them. */
private fun tlsContext(folder: File, address: String): SSLContext {
    val file = File(folder, "$address.p12")
    val command = listOf(
        File(System.getProperty("java.home"), "bin/keytool").path, "-genkeypair", "-alias", "target", "-keyalg", "EC",
        "-dname", "CN=target", "-ext", "SAN=ip:$address", "-keystore", file.path, "-storepass", PASSWORD,
    )
    ProcessBuilder(command).redirectErrorStream(true).start().waitFor() shouldBe 0
    val keys = KeyStore.getInstance(file, PASSWORD.toCharArray())
    val trusted = KeyStore.getInstance("PKCS12").apply { load(null, null) }
    trusted.setCertificateEntry("target", keys.getCertificate("target"))
    val server = KeyManagerFactory.getInstance("PKIX").apply { init(keys, PASSWORD.toCharArray()) }
    val client = TrustManagerFactory.getInstance("PKIX").apply { init(trusted) }
    return SSLContext.getInstance("TLS").apply { init(server.keyManagers, client.trustManagers, null) }
}

private fun tlsServer(tls: SSLContext) = KeepAliveServer(
    respond = { send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
    server = tls.serverSocketFactory.createServerSocket(0, 50, InetAddress.getLoopbackAddress()),
)

private suspend fun NettyTargetClient.status(url: String) = exchange(TargetRequest("GET", "$url/", Headers.Empty)) {
    it.body.next() shouldBe BodyPart.End(clean = true)
    it.status
}

class TlsTest :
    DescribeSpec({
        val folder = tempdir()

        // Requests and the credentials in them went out unencrypted to targets with an https address.
        describe("a target with an https address") {
            it("is spoken to over TLS, on a connection that is used again") {
                val tls = tlsContext(folder, "127.0.0.1")
                tlsServer(tls).use { server ->
                    NettyTargetClient(tls = { tls }).use { client ->
                        repeat(2) {
                            client.status(server.url.replace("http", "https")) shouldBe ExchangeResult.Answered(200)
                        }
                    }
                    server.connections.get() shouldBe 1
                }
            }
            it("gets no request if its certificate is not trusted or names another address") {
                val other = tlsContext(folder, "127.0.0.2")
                for (trust in listOf(other, SSLContext.getDefault())) {
                    tlsServer(other).use { server ->
                        NettyTargetClient(tls = { trust }).use { client ->
                            client.status(server.url.replace("http", "https"))
                                .shouldBeInstanceOf<ExchangeResult.NotSent>()
                        }
                    }
                }
            }
        }
    })
