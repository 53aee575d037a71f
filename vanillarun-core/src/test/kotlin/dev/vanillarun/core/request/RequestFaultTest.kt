package dev.vanillarun.core.request

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

class RequestFaultTest :
    DescribeSpec({
        // Two readers of one message saw two ends of its body.
        describe("the transfer codings of a request") {
            it("are accepted only as a single chunked, or none, in however many fields they stand") {
                val coding = Arb.element(
                    "chunked",
                    "Chunked",
                    " chunked\t",
                    "xchunked",
                    "gzip",
                    "identity",
                    "",
                    "chunked;q=1",
                )
                checkAll(Arb.list(coding, 0..3), Arb.element("HTTP/1.0", "HTTP/1.1")) { codings, version ->
                    val sound = codings.isEmpty() ||
                        (codings.size == 1 && codings[0].trim().lowercase() == "chunked" && version == "HTTP/1.1")
                    val fault = codingFault(version, codings)
                    (fault == null) shouldBe sound
                    if (codings.isNotEmpty()) {
                        codingFault(version, listOf(codings.joinToString(","))) shouldBe
                            fault.joined(codings)
                    }
                }
            }
        }
    })

/** The same fault of [codings] in one field. */
private fun RequestFault?.joined(codings: List<String>): RequestFault? =
    if (this is RequestFault.UnknownCoding) RequestFault.UnknownCoding(codings.joinToString(",")) else this
