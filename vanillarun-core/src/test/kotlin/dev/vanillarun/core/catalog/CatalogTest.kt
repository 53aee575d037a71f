package dev.vanillarun.core.catalog

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.zone.Region
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private fun route(name: String, prefix: String, open: Boolean = false) = CatalogRoute(
    name = name,
    host = "Shop.example",
    pathPrefix = prefix,
    kind = RequestKind.IDEMPOTENT,
    services = listOf(ServiceShare("s")),
    timeout = 1.seconds,
    objective = 1.seconds,
    open = open,
)

class CatalogTest :
    DescribeSpec({
        val customer = CatalogCustomer(CustomerId("hule"))
        val catalog = Catalog(
            version = 1,
            routes = listOf(route("all", "/"), route("desk", "/desk/"), route("open", "/desk/open/", open = true)),
            keys = mapOf("k" to customer),
            keyed = true,
        )

        describe("route lookup") {
            it("finds the longest matching prefix and ignores the letter case of the host") {
                catalog.route("shop.EXAMPLE", "/desk/open/1")?.name shouldBe "open"
                catalog.route("shop.example", "/desk/1")?.name shouldBe "desk"
                catalog.route("shop.example", "/desk")?.name shouldBe "all"
            }
            it("finds no route for another host") {
                catalog.route("other.example", "/") shouldBe null
            }
        }
        describe("an API key") {
            val desk = catalog.route("shop.example", "/desk/1")
            val open = catalog.route("shop.example", "/desk/open/1")
            it("is authorised for its customer") {
                catalog.authorize(desk, "k") shouldBe KeyDecision.Allowed(customer)
                catalog.authorize(open, "k") shouldBe KeyDecision.Allowed(customer)
            }
            it("that is unknown or missing gives access to open routes only") {
                catalog.authorize(desk, "x") shouldBe KeyDecision.Unknown
                catalog.authorize(desk, null) shouldBe KeyDecision.Unknown
                catalog.authorize(open, null) shouldBe KeyDecision.Allowed(null)
            }
            it("is not required if the operator has no customers") {
                catalog.copy(keyed = false).authorize(desk, null) shouldBe KeyDecision.Allowed(null)
            }
        }
        describe("allowed regions") {
            it("that no data centre lies in are reported with their route or customer") {
                val north = Region("north")
                val limited = Catalog(
                    version = 1,
                    routes = listOf(route("a", "/a/").copy(regions = setOf(north)), route("b", "/b/")),
                    customers = mapOf(customer.id to customer.copy(regions = setOf(north, Region("sout")))),
                )
                limited.limitsRegions shouldBe true
                limited.regionProblems(setOf(north)) shouldBe
                    listOf("customer hule allows region sout, in which no data centre lies; name one of [north]")
                catalog.limitsRegions shouldBe false
            }
        }
    })
