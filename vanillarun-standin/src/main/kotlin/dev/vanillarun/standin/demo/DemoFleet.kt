package dev.vanillarun.standin.demo

import java.security.MessageDigest

/** A data centre of the demo with its engine speeds, in tokens a second. */
internal data class DemoZone(val name: String, val engineSpeeds: List<Int>, val reclaimable: Boolean = false)

/** A target that was started. */
internal data class DemoTarget(val id: String, val kind: String, val address: String, val zone: DemoZone)

/** Zones, customers and keys of the demo. */
internal object DemoFleet {
    val zones =
        listOf(
            DemoZone("torino", listOf(400, 120)),
            DemoZone("novara", listOf(250, 60)),
            DemoZone("milano", listOf(180, 40), reclaimable = true),
        )

    /** Customers with their weight, the trainer's first. */
    val customers = mapOf("assistant-trainer" to 2, "asl-torino" to 4, "ospedale-novara" to 2, "families" to 1)

    const val TRAINER = "assistant-trainer"

    const val TARGET_CREDENTIAL = "demo-target-credential"

    fun key(customer: String): String = "demo-key-of-$customer"

    /** Short TOML files by the path that they are kept under. */
    fun files(targets: List<DemoTarget>): Map<String, String> = mapOf(
        "assistant/assistant.vanillarun.toml" to model() + targetsOf(targets, "engine", route = "assistant"),
        "loan-desk/loan-desk.vanillarun.toml" to service() + targetsOf(targets, "service", route = "loan-desk"),
        "customers/customers.vanillarun.toml" to
            customers.entries.joinToString("\n") { (id, weight) -> customer(id, weight) },
        "priorities/priorities.vanillarun.toml" to priorities(),
    )

    /** Settings of the entry instance of [zone]. */
    fun settings(zone: String, platform: String): String = """
        instance = "$zone-1"
        data_centre = "$zone"
        platform = "http://$platform"
        caller_address = "127.0.0.1:0"
        admin_address = "127.0.0.1:0"
        peer_address = "127.0.0.1:0"
    """.trimIndent() + "\n"

    private fun model() = """
        [[routes]]
        name = "assistant"
        kind = "model"
        model = "assistant"
        priority = "live"
        deadline_ms = 20000
        max_version_lag = 1
    """.trimIndent() + "\n"

    private fun service() = """
        [[routes]]
        name = "loan-desk"
        kind = "service"
        path = "/loans"
        customers = ["asl-torino", "ospedale-novara", "families"]
        priority = "live"
        idempotent_methods = ["GET", "HEAD"]
        deadline_ms = 10000
    """.trimIndent() + "\n"

    private fun targetsOf(targets: List<DemoTarget>, kind: String, route: String): String =
        targets.filter { it.kind == kind }.joinToString("") { target ->
            """

        [[targets]]
        id = "${target.id}"
        kind = "$kind"
        address = "http://${target.address}"
        data_centre = "${target.zone.name}"
        routes = ["$route"]
        concurrency = 16
        reclaimable = ${target.zone.reclaimable}
        credential = "$TARGET_CREDENTIAL"
            """.trimIndent() + "\n"
        }

    private fun customer(id: String, weight: Int) = """
        [[customers]]
        id = "$id"
        weight = $weight
        max_concurrency = 256

        [[customers.keys]]
        id = "$id-1"
        sha256 = "${sha256(key(id))}"
    """.trimIndent() + "\n"

    private fun priorities() = listOf("live", "rollout").joinToString("\n") { "[[priorities]]\nname = \"$it\"\n" }

    private fun sha256(text: String): String = MessageDigest
        .getInstance("SHA-256")
        .digest(text.encodeToByteArray())
        .joinToString("") { "%02x".format(it) }
}
