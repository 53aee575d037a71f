package dev.vanillarun.core.answer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.set
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll

class AnswerIdentityTest :
    DescribeSpec({
        // The copy of a failure ended the next attempt of its request.
        describe("an answer to a later attempt of a request") {
            val digests = Arb.element("a", "b", "c")
            val earlier = Arb.set(digests.map { AnswerIdentity(500, it) }, 0..3)

            it("may be a copy only if it is a failure, and the same as an earlier one") {
                checkAll(Arb.int(200..599), digests, earlier) { status, digest, before ->
                    val answer = AnswerIdentity(status, digest)
                    answer.mayBeCopy(before) shouldBe (status == 500 && AnswerIdentity(500, digest) in before)
                }
            }
            it("is never taken for a copy if it says that the request has not run, or was served") {
                checkAll(Arb.element(200, 204, 404, 408, 421, 429, 503), Arb.string()) { status, digest ->
                    AnswerIdentity(status, digest).run { mayBeCopy(setOf(this)) } shouldBe false
                }
            }
        }
    })
