package dev.vanillarun.core.config

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.key.KeyIndex
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

class ConfigValidatorTest :
    DescribeSpec({
        val customer = Customer(CustomerId("a"), keys = listOf(CustomerKey("a-1", KeyIndex.hexOf("secret"))))
        val model = Route(RouteName("m"), RouteKind.MODEL, model = "m")
        val service = Route(RouteName("s"), RouteKind.SERVICE, path = "/loans")
        val engine = Target(
            id = TargetId("e"),
            kind = TargetKind.ENGINE,
            address = "http://10.0.0.1:9000",
            dataCentre = DataCentre("torino"),
            routes = listOf(model.name),
            credential = "t-e",
        )
        val plain = engine.copy(
            id = TargetId("p"),
            kind = TargetKind.SERVICE,
            address = "http://[::1]:9001",
            routes = listOf(service.name),
        )
        val good = RolloutConfig(
            customers = listOf(customer),
            routes = listOf(model, service),
            targets = listOf(engine, plain),
            priorities = listOf(PriorityClass("live")),
            spending = listOf(SpendingRule(model.name, DataCentre("torino"), floor = 1, ceiling = 2)),
        )

        fun keys(config: RolloutConfig): List<String> = ConfigValidator.validate(config).map { it.key }

        it("reports no problem in a valid configuration") { ConfigValidator.validate(good).shouldBeEmpty() }

        it("reports all problems at once") {
            keys(good.copy(priorities = emptyList(), routes = listOf(model.copy(model = ""), service.copy(path = "x"))))
                .shouldBe(
                    listOf(
                        "priorities",
                        "routes[0].model",
                        "routes[0].priority",
                        "routes[1].path",
                        "routes[1].priority",
                    ),
                )
        }

        describe("customers") {
            it("must have distinct, well-formed ids") {
                keys(good.copy(customers = listOf(customer, customer.copy(keys = emptyList())))) shouldBe
                    listOf("customers[1].id")
                keys(good.copy(customers = listOf(customer.copy(id = CustomerId("A b"))))) shouldBe
                    listOf("customers[0].id")
            }
            it("must have weights and limits in range, and well-formed key hashes") {
                val bad = customer.copy(weight = 0, maxConcurrency = 0, tokensPerSecond = -1)
                keys(good.copy(customers = listOf(bad))) shouldBe
                    listOf("customers[0].weight", "customers[0].max_concurrency", "customers[0].tokens_per_second")
                val badKey = customer.copy(keys = listOf(CustomerKey("a-1", "secret")))
                keys(good.copy(customers = listOf(badKey))) shouldBe listOf("customers[0].keys[0].sha256")
            }
            it("must not share a key") {
                val other = Customer(CustomerId("b"), keys = customer.keys)
                keys(good.copy(customers = listOf(customer, other))) shouldBe
                    listOf("customers[1].keys[0].id", "customers[1].keys[0].sha256")
            }
        }

        describe("routes") {
            it("must list existing customers, and none if open") {
                val route = model.copy(open = true, customers = listOf(CustomerId("nobody")))
                keys(good.copy(routes = listOf(route, service))) shouldBe
                    listOf("routes[0].open", "routes[0].customers[0]")
            }
            it("must not reuse a path of another route or a reserved path") {
                val twin = service.copy(name = RouteName("t"))
                val target = plain.copy(routes = listOf(service.name, twin.name))
                keys(good.copy(routes = listOf(model, service, twin), targets = listOf(engine, target))) shouldBe
                    listOf("routes[2].path")
                keys(good.copy(routes = listOf(model, service.copy(path = "/v1/rollouts/x")))) shouldBe
                    listOf("routes[1].path")
            }
            it("must be served by a target") {
                keys(good.copy(targets = listOf(engine))) shouldBe listOf("routes[1].name")
            }
            it("must list HTTP methods only") {
                keys(good.copy(routes = listOf(model, service.copy(idempotentMethods = listOf("get"))))) shouldBe
                    listOf("routes[1].idempotent_methods")
            }
        }

        describe("targets") {
            it("must have an IP address with a port, and a credential of their own") {
                for (address in listOf("http://host:1", "http://10.0.0.1", "10.0.0.1:1", "http://10.0.0.1:1/x")) {
                    keys(good.copy(targets = listOf(engine.copy(address = address), plain))) shouldBe
                        listOf("targets[0].address")
                }
                for (credential in listOf("", "two words", "line\nbreak", "secret")) {
                    keys(good.copy(targets = listOf(engine.copy(credential = credential), plain))) shouldBe
                        listOf("targets[0].credential")
                }
            }
            it("must serve existing routes of their kind") {
                val routes = listOf(model.name, service.name, RouteName("gone"))
                keys(good.copy(targets = listOf(engine.copy(routes = routes), plain))) shouldBe
                    listOf("targets[0].routes[1]", "targets[0].routes[2]")
            }
        }

        describe("spending") {
            it("must name an existing route and data centre, with the floor not above the ceiling") {
                val rule = SpendingRule(RouteName("gone"), DataCentre("nowhere"), floor = 3, ceiling = 2)
                keys(good.copy(spending = listOf(rule))) shouldBe
                    listOf("spending[0].route", "spending[0].data_centre", "spending[0].ceiling")
            }
        }
    })
