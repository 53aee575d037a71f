package dev.vanillarun.core.request

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

class HeadFaultTest :
    DescribeSpec({
        // Two readers of one message saw two ends of its body.
        describe("the lengths of a request") {
            it("are accepted only as one number of digits without a coding beside it") {
                val length = Arb.element("0", "3", "007", "+3", "-3", "3, 3", "3,4", "", " ", "0x3", "3 3", "\u0663")
                checkAll(Arb.list(length, 0..2), Arb.list(Arb.element("chunked"), 0..1)) { lengths, codings ->
                    val sound = lengths.isEmpty() ||
                        (lengths.size == 1 && Regex("[0-9]+").matches(lengths[0]) && codings.isEmpty())
                    val fault = headFault("HTTP/1.1", lengths, codings)
                    (fault == null) shouldBe sound
                    if (fault != null) fault.message shouldContain "Content-Length"
                }
            }
        }
        describe("the kinds of faults") {
            it("have names for metrics without capitals") {
                RequestFault.LengthBesideCoding.label shouldBe "length_beside_coding"
                RequestFault.RepeatedField("Content-Length").label shouldBe "repeated_field"
            }
        }
    })
