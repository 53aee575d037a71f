package dev.vanillarun.core.key

import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.CustomerKey
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll

class AccessTest :
    DescribeSpec({
        fun customer(name: String, vararg secrets: String, withdrawn: Boolean = false) = Customer(
            id = CustomerId(name),
            keys = secrets.map { CustomerKey("$name-$it", KeyIndex.hexOf(it), withdrawn) },
        )

        fun index(vararg customers: Customer) = KeyIndex(RolloutConfig(customers = customers.toList()))

        val route = Route(RouteName("assistant"), RouteKind.MODEL, customers = listOf(CustomerId("desk")))
        val keys = index(customer("desk", "s1"), customer("ward", "s2"), customer("desk", "old", withdrawn = true))

        describe("a closed route") {
            it("grants an allowed customer") {
                keys.authorize(route, "s1") shouldBe Access.Granted(CustomerId("desk"), "desk-s1")
            }
            it("denies a missing, unknown or withdrawn key, and a key of another customer") {
                keys.authorize(route, null) shouldBe Access.Denied(DenialReason.MISSING_KEY)
                keys.authorize(route, "s3") shouldBe Access.Denied(DenialReason.UNKNOWN_KEY)
                keys.authorize(route, "old") shouldBe Access.Denied(DenialReason.WITHDRAWN_KEY)
                keys.authorize(route, "s2") shouldBe Access.Denied(DenialReason.ROUTE_NOT_ALLOWED)
            }
        }

        describe("an open route") {
            val open = route.copy(open = true)
            it("attributes a request with an allowed key to its customer, and other requests to none") {
                keys.authorize(open, "s1") shouldBe Access.Granted(CustomerId("desk"), "desk-s1")
                keys.authorize(open, "old") shouldBe Access.Open
                keys.authorize(open, null) shouldBe Access.Open
            }
        }

        describe("a hash that several customers list") {
            it("belongs to none of them, and is withdrawn if one of them withdrew it") {
                index(customer("a", "s"), customer("b", "s")).find("s") shouldBe KeyLookup.Unknown
                val withdrawn = index(customer("a", "s"), customer("b", "s", withdrawn = true))
                withdrawn.find("s") shouldBe KeyLookup.Withdrawn("b-s")
            }
        }

        describe("any secret") {
            it("is found exactly if it is listed") {
                checkAll(Arb.list(Arb.string(1..8), 0..20), Arb.string(1..8)) { secrets, other ->
                    val found = index(customer("a", *secrets.distinct().toTypedArray()))
                    secrets.forEach { found.find(it) shouldBe KeyLookup.Found(CustomerId("a"), "a-$it") }
                    (found.find(other) == KeyLookup.Unknown) shouldBe (other !in secrets)
                }
            }
        }
    })
