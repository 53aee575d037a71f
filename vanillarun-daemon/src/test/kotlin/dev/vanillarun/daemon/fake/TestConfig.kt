package dev.vanillarun.daemon.fake

import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.CustomerKey
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.config.TargetKind
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.caller.Secret

const val ALICE_KEY = "vr_alice_0123456789abcdef"
const val BOB_KEY = "vr_bob_0123456789abcdef"
const val TARGET_CREDENTIAL = "target-credential"

/** Model route `assistant` for alice, service routes `/loans` for all and `/loans/archive` for bob, open `/public`. */
fun testConfig(engines: List<String>, services: List<String>, aliceWithdrawn: Boolean = false) = RolloutConfig(
    customers = listOf(
        Customer(CustomerId("alice"), keys = listOf(CustomerKey("a1", Secret(ALICE_KEY).sha256, aliceWithdrawn))),
        Customer(CustomerId("bob"), keys = listOf(CustomerKey("b1", Secret(BOB_KEY).sha256))),
    ),
    routes = listOf(
        Route(
            RouteName("assistant"),
            RouteKind.MODEL,
            model = "assistant",
            customers = listOf(CustomerId("alice")),
        ),
        Route(RouteName("loans"), RouteKind.SERVICE, path = "/loans"),
        Route(RouteName("archive"), RouteKind.SERVICE, path = "/loans/archive", customers = listOf(CustomerId("bob"))),
        Route(RouteName("public"), RouteKind.SERVICE, path = "/public", open = true),
    ),
    targets = engines.mapIndexed { i, base -> target("engine-$i", TargetKind.ENGINE, base, "assistant") } +
        services.mapIndexed { i, base -> target("service-$i", TargetKind.SERVICE, base, "loans", "archive", "public") },
)

private fun target(id: String, kind: TargetKind, address: String, vararg routes: String) = Target(
    TargetId(id),
    kind,
    address,
    DataCentre("torino"),
    routes.map(::RouteName),
    credential = TARGET_CREDENTIAL,
)
