package dev.vanillarun.core.answer

import dev.vanillarun.core.id.RequestId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll

class AnswerChecksTest :
    DescribeSpec({
        describe("the identity of an answer") {
            it("must be the asked one, and there if the target always echoes it") {
                val asked = RequestId("r1")
                requestIdFault(asked, "r1", echoRequired = true) shouldBe null
                requestIdFault(asked, "r2", echoRequired = false) shouldBe ResponseFault.WrongRequest(asked, "r2")
                requestIdFault(asked, null, echoRequired = true) shouldBe ResponseFault.WrongRequest(asked, null)
                requestIdFault(asked, null, echoRequired = false) shouldBe null
            }
        }
        describe("a body") {
            it("is whole only at exactly its announced length") {
                checkAll(Arb.int(0..100), Arb.int(0..100)) { announced, sent ->
                    val fault = BodyCheck(announced.toLong()).received(sent).endFault(clean = true)
                    when {
                        sent < announced -> fault.shouldBeInstanceOf<ResponseFault.Truncated>()
                        sent > announced -> fault.shouldBeInstanceOf<ResponseFault.TooLong>()
                        else -> fault shouldBe null
                    }
                }
            }
            it("of unknown length needs a regular end") {
                BodyCheck(null).received(9).endFault(clean = true) shouldBe null
                BodyCheck(null).received(9).endFault(clean = false).shouldBeInstanceOf<ResponseFault.Truncated>()
                BodyCheck(null, limit = 8).received(9).fault().shouldBeInstanceOf<ResponseFault.TooLong>()
            }
        }
        describe("a stream") {
            val whole = StreamCheck(maxTokens = 3).event(2, finishes = false).event(1, finishes = true)
            it("is whole with finish reason and end mark") { whole.end().endFault() shouldBe null }
            it("is truncated without either") {
                whole.endFault().shouldBeInstanceOf<ResponseFault.Truncated>()
                StreamCheck(3).event(2, finishes = false).end().fault().shouldBeInstanceOf<ResponseFault.Truncated>()
            }
            it("is over-long with too many tokens or anything after its end") {
                StreamCheck(3).event(4, finishes = true).fault().shouldBeInstanceOf<ResponseFault.TooLong>()
                whole.end().event(0, finishes = false).fault().shouldBeInstanceOf<ResponseFault.TooLong>()
                whole.end().end().fault().shouldBeInstanceOf<ResponseFault.TooLong>()
            }
        }
    })
