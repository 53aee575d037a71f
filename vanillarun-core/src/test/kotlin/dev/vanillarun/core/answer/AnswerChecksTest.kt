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
        describe("the request id of a response") {
            it("must match the request, and be present if the target has to echo it") {
                val sentId = RequestId("r1")
                requestIdFault(sentId, "r1", echoRequired = true) shouldBe null
                requestIdFault(sentId, "r2", echoRequired = false) shouldBe ResponseFault.WrongRequest(sentId, "r2")
                requestIdFault(sentId, null, echoRequired = true) shouldBe ResponseFault.WrongRequest(sentId, null)
                requestIdFault(sentId, null, echoRequired = false) shouldBe null
            }
        }
        describe("a body") {
            it("is complete only at exactly its announced length") {
                checkAll(Arb.int(0..100), Arb.int(0..100)) { announced, sent ->
                    val fault = BodyCheck(announced.toLong()).received(sent).endFault(clean = true)
                    when {
                        sent < announced -> fault.shouldBeInstanceOf<ResponseFault.Truncated>()
                        sent > announced -> fault.shouldBeInstanceOf<ResponseFault.TooLong>()
                        else -> fault shouldBe null
                    }
                }
            }
            it("of unknown length is complete only with a regular end") {
                BodyCheck(null).received(9).endFault(clean = true) shouldBe null
                BodyCheck(null).received(9).endFault(clean = false).shouldBeInstanceOf<ResponseFault.Truncated>()
                BodyCheck(null, limit = 8).received(9).fault().shouldBeInstanceOf<ResponseFault.TooLong>()
            }
        }
        describe("a stream") {
            val complete = StreamCheck(maxTokens = 3).event(2, finishes = false).event(1, finishes = true)
            it("is complete with finish reason and end mark") { complete.end().endFault() shouldBe null }
            it("is truncated without either") {
                complete.endFault().shouldBeInstanceOf<ResponseFault.Truncated>()
                StreamCheck(3).event(2, finishes = false).end().fault().shouldBeInstanceOf<ResponseFault.Truncated>()
            }
            it("is too long with too many tokens or anything after its end") {
                StreamCheck(3).event(4, finishes = true).fault().shouldBeInstanceOf<ResponseFault.TooLong>()
                complete.end().event(0, finishes = false).fault().shouldBeInstanceOf<ResponseFault.TooLong>()
                complete.end().end().fault().shouldBeInstanceOf<ResponseFault.TooLong>()
            }
        }
    })
