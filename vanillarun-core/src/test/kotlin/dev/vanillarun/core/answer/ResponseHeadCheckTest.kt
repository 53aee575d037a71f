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

private val Token = Regex("[A-Za-z0-9!#$%&'*+.^_`|~-]+")

/** Text of a head without its empty line. */
private val heads: Arb<String> = Arb.bind(
    Arb.element("HTTP/1.1", "HTTP/1.0"),
    Arb.int(200..599),
    Arb.element("", "OK", "Service Unavailable", "Not  Found"),
    Arb.list(
        Arb.bind(Arb.stringPattern("[A-Za-z][A-Za-z0-9-]{0,12}"), Arb.string(0..20)) { name, value ->
            "$name: ${value.filter { it in ' '..'~' }}"
        },
        0..5,
    ),
) { version, status, reason, fields -> (listOf("$version $status $reason") + fields).joinToString("") { "$it\r\n" } }

/** Decodes a head as leniently as HTTP libraries do; null if its lines have not the form of a head. */
private fun decode(text: String): DecodedHead? {
    val lines = text.removeSuffix("\r\n").split("\r\n")
    val status = lines.first().split(Regex("[ \t]+"), limit = 3)
    if (status.size < 2 || status[1].toIntOrNull() == null) return null
    val fields = lines.drop(1).map { line ->
        val name = line.substringBefore(':', "")
        if (!Token.matches(name)) return null
        name to line.substringAfter(':').trim()
    }
    return DecodedHead(status[0], status.getOrElse(2) { "" }, fields)
}

class ResponseHeadCheckTest :
    DescribeSpec({
        describe("the head of a single response") {
            it("has no fault") {
                checkAll(heads) { decode(it).shouldNotBeNull().fault().shouldBeNull() }
            }
            it("may name a protocol that is no status line") {
                val server = "Server" to "SimpleHTTP/0.6 Python/3.11"
                val upgrade = "Upgrade" to "HTTP/2.0, h2c"
                DecodedHead("HTTP/1.1", "OK", listOf(server, upgrade)).fault().shouldBeNull()
            }
        }
        describe("a field that may stand once") {
            // Of two ids, signatures or lengths in one head the first counted.
            it("has no fault once, and one if it stands again anywhere, in any case of its letters") {
                val names = Arb.element("content-length", "content-type", "retry-after", "x-own")
                checkAll(heads, names, Arb.int(0..5), Arb.int(0..5)) { text, name, first, second ->
                    val head = decode(text).shouldNotBeNull()
                    val own = setOf("x-own")
                    val once = head.fields.toMutableList().apply { add(first.coerceAtMost(size), name to "1") }
                    head.copy(fields = once).fault(own).shouldBeNull()
                    val twice = once.toMutableList().apply { add(second.coerceAtMost(size), name.uppercase() to "1") }
                    head.copy(fields = twice).fault(own).shouldBeInstanceOf<HeadFault.RepeatedField>()
                }
            }
            it("may stand again if it is of no protocol that is known here") {
                DecodedHead("HTTP/1.1", "OK", listOf("x-own" to "1", "x-own" to "2")).fault().shouldBeNull()
            }
        }
        describe("the beginning of one response, cut anywhere, and another as a whole") {
            // Callers got the status of the first with the fields of the second.
            it("are never the head of a single response") {
                checkAll(heads, heads, Arb.int(0..1000).map { it / 1000.0 }) { first, second, share ->
                    val cut = 1 + (share * (first.length - 1)).toInt()
                    decode(first.take(cut) + second)?.let { it.fault().shouldNotBeNull() }
                }
            }
            it("are told by the place of the second status line") {
                val fields = listOf("Content-Type" to "texHTTP/1.1 500 Internal Server Error", "Request-Id" to "7")
                DecodedHead("HTTP/1.1", "OK", fields).fault() shouldBe HeadFault.SecondStatusLine("Content-Type")
                DecodedHead("HTTP/1.1", "OHTTP/1.1 500 No").fault() shouldBe HeadFault.SecondStatusLine(null)
                DecodedHead("HTTP/1.HTTP/1.1", "OK").fault() shouldBe HeadFault.Version("HTTP/1.HTTP/1.1")
            }
        }
    })
