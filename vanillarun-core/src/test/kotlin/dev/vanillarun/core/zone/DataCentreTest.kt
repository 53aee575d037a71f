package dev.vanillarun.core.zone

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class DataCentreTest :
    DescribeSpec({
        describe("a data centre") {
            it("has its name as text") { DataCentre("torino").toString() shouldBe "torino" }
            it("rejects a blank name") { shouldThrow<IllegalArgumentException> { DataCentre(" ") } }
        }
    })
