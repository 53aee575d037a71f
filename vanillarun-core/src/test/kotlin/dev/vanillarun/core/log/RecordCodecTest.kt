package dev.vanillarun.core.log

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll

class RecordCodecTest :
    DescribeSpec({
        val recordId = RecordId(InstanceId("a"), Incarnation("i"), sequence = 3)

        describe("a record of a known type") {
            it("is decoded to what was encoded") {
                val envelope = Envelope(recordId, LeaseRenewal(DutyName("usage"), Offset(7)))
                RecordCodec.decode(RecordCodec.encode(envelope)) shouldBe DecodedRecord.Known(envelope)
            }
        }

        describe("a record written by a newer build") {
            it("is decoded as unknown if its type is unknown") {
                val id = """{"writer":"a","incarnation":"i","sequence":0}"""
                val payload = """{"id":$id,"body":{"type":"later.type","x":1}}"""
                RecordCodec.decode(payload) shouldBe DecodedRecord.Unknown("later.type")
            }
        }

        describe("a damaged record") {
            it("is decoded as damaged, without an exception") {
                checkAll(Arb.string()) { RecordCodec.decode(it).shouldBeInstanceOf<DecodedRecord.Damaged>() }
            }
        }
    })
