package dev.vanillarun.core.answer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.string
import io.kotest.property.arbitrary.stringPattern
import io.kotest.property.checkAll

private val names = Arb.stringPattern("[A-Za-z][A-Za-z0-9-]{0,12} ?")
private val values = Arb.string(0..20).map { text -> text.filter { it in ' '..'~' } }
private val fields = Arb.bind(names, values) { name, value -> "$name: $value" }

private fun heads(versions: Arb<String>, spaces: Arb<String>) = Arb.bind(
    versions,
    spaces,
    Arb.int(200..599),
    Arb.element("", "OK", "Service Unavailable", "Not  Found"),
    Arb.list(fields, 0..5),
) { version, space, status, reason, lines -> (listOf("$version$space$status $reason") + lines).joinToString("\r\n") }

/** Heads as RFC 9112 has them. */
private val strictHeads = heads(Arb.element("HTTP/1.1", "HTTP/1.0"), Arb.element(" "))

/** Heads that lenient decoders accept as well. */
private val lenientHeads = heads(
    Arb.element("HTTP/1.1", "http/1.1", "HTTP/1.0", "HTTP/2.0"),
    Arb.element(" ", "  ", "\t", "\u000b", "\u000c", " +"),
)

class StatusLineCheckTest :
    DescribeSpec({
        describe("the head of a single response") {
            it("has no fault") {
                checkAll(strictHeads) { statusLineFault(it).shouldBeNull() }
            }
            it("may name protocols and versions") {
                val lines = listOf("Server: SimpleHTTP/0.6 Python/3.11", "Upgrade: HTTP/2.0", "Via: HTTP/1.1 192.0.2.1")
                statusLineFault("HTTP/1.1 200 OK\r\n" + lines.joinToString("\r\n")).shouldBeNull()
            }
        }
        // Guards against answers with a status that is none.
        it("a status counts if its class is one that HTTP defines") {
            (0..999).forEach { status ->
                val fault = statusLineFault("HTTP/1.1 ${status.toString().padStart(3, '0')} X\r\n")
                fault shouldBe if (status in 100..599) null else HeadFault.UnknownStatus(status)
            }
        }
        describe("the beginning of one response, cut anywhere, and another as a whole") {
            // Callers got the status of the first with the fields of the second.
            it("are never the head of a single response") {
                checkAll(strictHeads, lenientHeads, Arb.int(1..1000)) { first, second, length ->
                    statusLineFault(first.take(length) + second).shouldNotBeNull()
                }
            }
            it("are told by the line of the second status line") {
                statusLineFault("HTTP/1.1 200 OHTTP/1.1 500 No\r\n") shouldBe HeadFault.SecondStatusLine(1)
                statusLineFault("HTTP/1.1 200 OK\r\nC HTTP/1.1 500 No\r\n") shouldBe HeadFault.SecondStatusLine(2)
                statusLineFault("HTTP/1.HTTP/1.1 500 No\r\n").shouldBeInstanceOf<HeadFault.NoStatusLine>()
            }
        }
        describe("a search in parts") {
            it("finds what a search of the whole finds") {
                checkAll(Arb.string(0..60), lenientHeads, Arb.int(1..40)) { before, head, size ->
                    val search = StatusLineSearch()
                    "$before$head\r\n".chunked(size).forEach(search::feed)
                    search.found shouldBe true
                }
            }
        }
    })
