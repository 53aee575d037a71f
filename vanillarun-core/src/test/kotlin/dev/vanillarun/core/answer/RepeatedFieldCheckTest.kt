package dev.vanillarun.core.answer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

class RepeatedFieldCheckTest :
    DescribeSpec({
        describe("a field that may stand once") {
            // Of two ids, signatures or lengths in one head the first counted.
            it("has no fault once, and one if it stands again anywhere, in any case of its letters") {
                val others = Arb.list(Arb.element("Via", "x-other", "Set-Cookie"), 0..5)
                val single = Arb.element("content-length", "content-type", "retry-after", "x-own")
                checkAll(others, single, Arb.int(0..5), Arb.int(0..5)) { names, name, first, second ->
                    val own = setOf("x-own")
                    val once = names.toMutableList().apply { add(first.coerceAtMost(size), name) }
                    repeatedField(once, own).shouldBeNull()
                    val twice = once.toMutableList().apply { add(second.coerceAtMost(size), name.uppercase()) }
                    repeatedField(twice, own).shouldBeInstanceOf<HeadFault.RepeatedField>()
                }
            }
            it("may stand again if it is of no protocol that is known here") {
                repeatedField(listOf("x-own", "x-own")).shouldBeNull()
            }
        }
    })
