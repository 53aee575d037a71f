package dev.vanillarun.core.config

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class ConfigDiffTest :
    DescribeSpec({
        val customer = Customer(CustomerId("a"), keys = listOf(CustomerKey("a-1", "00")))
        val target = Target(
            id = TargetId("t"),
            kind = TargetKind.ENGINE,
            address = "http://10.0.0.1:1",
            dataCentre = DataCentre("torino"),
            routes = emptyList(),
            credential = "one",
        )
        val config = RolloutConfig(
            customers = listOf(customer),
            targets = listOf(target),
            priorities = listOf(PriorityClass("x"), PriorityClass("y")),
        )

        it("is empty between equal configurations, in whatever order their customers are listed") {
            val second = Customer(CustomerId("b"))
            ConfigDiff.between(
                config.copy(customers = listOf(customer, second)),
                config.copy(customers = listOf(second, customer)),
            ).shouldBeEmpty()
        }
        it("lists added, removed and changed elements, and redacts credentials") {
            val after = config.copy(
                customers = listOf(customer.copy(weight = 5, keys = listOf(CustomerKey("a-2", "01")))),
                targets = listOf(target.copy(credential = "two")),
                priorities = config.priorities.reversed(),
            )
            ConfigDiff.between(config, after) shouldBe listOf(
                ConfigDifference.Changed("customer a: weight", "1", "5"),
                ConfigDifference.Removed("key a-1 of a"),
                ConfigDifference.Changed("target t: credential", "(secret)", "(secret)"),
                ConfigDifference.Changed("priority x: rank", "0", "1"),
                ConfigDifference.Changed("priority y: rank", "1", "0"),
                ConfigDifference.Added("key a-2 of a"),
            )
        }
    })
