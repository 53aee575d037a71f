package dev.vanillarun.adapters.settings

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.adapters.toml.ReadOutcome
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Path

class SettingsReaderTest :
    DescribeSpec({
        val validSettings = "instance = \"torino-1\"\ndata_centre = \"torino\"\nplatform = \"http://127.0.0.1:7000\"\n"

        fun read(text: String, flags: SettingsFlags = SettingsFlags()) = SettingsReader.read("d.toml", text, flags)

        fun problems(text: String, flags: SettingsFlags = SettingsFlags()): List<Problem> =
            read(text, flags).shouldBeInstanceOf<ReadOutcome.Rejected>().problems

        describe("valid settings") {
            it("use defaults for omitted keys and the values of tables that are given") {
                val text = validSettings + "[limits]\nmax_body_bytes = 2048\n"
                val settings = read(text).shouldBeInstanceOf<ReadOutcome.Read<DaemonSettings>>().value
                settings.limits shouldBe CallerLimits(maxBodyBytes = 2048)
                settings.callerAddress shouldBe "127.0.0.1:0"
            }
            it("may be given by flags alone, which override the file") {
                val flags = SettingsFlags(instance = "b", dataCentre = "novara", platform = "http://10.0.0.1:1")
                listOf("", validSettings).forEach {
                    val settings = read(it, flags).shouldBeInstanceOf<ReadOutcome.Read<DaemonSettings>>().value
                    settings.instance shouldBe "b"
                    settings.platform shouldBe "http://10.0.0.1:1"
                }
            }
        }

        describe("invalid settings") {
            it("report every missing key") {
                problems("").map { it.key } shouldBe listOf("instance", "data_centre", "platform")
            }
            it("report every value out of range with its line") {
                val text = validSettings + """
                    |caller_address = "localhost:80"
                    |seeds = ["10.0.0.1:0"]
                    |[limits]
                    |max_body_bytes = 3
                    |[intervals]
                    |heartbeat_ms = 0
                """.trimMargin()
                problems(text).map { it.line to it.key } shouldBe listOf(
                    4 to "caller_address",
                    5 to "seeds[0]",
                    7 to "limits.max_body_bytes",
                    9 to "intervals.heartbeat_ms",
                )
            }
            it("report missing keys, unknown keys, wrong types and values out of range together") {
                val text = "instance = 7\nseedz = []\n[limits]\nmax_body_bytes = 3\nmax_connections = \"many\"\n"
                problems(text, SettingsFlags(platform = "ftp://x")).map { it.file to it.key } shouldBe listOf(
                    "d.toml" to "data_centre",
                    "d.toml" to "instance",
                    "d.toml" to "seedz",
                    "d.toml" to "limits.max_connections",
                    "flags" to "platform",
                    "d.toml" to "limits.max_body_bytes",
                )
            }
            it("report flags as the source of an invalid flag") {
                problems(validSettings, SettingsFlags(platform = "ftp://x")).single() shouldBe
                    Problem("flags", "platform", "has to be like http://10.0.0.2:7000, without a path")
            }
            it("reject two servers on one address") {
                val text = validSettings + "caller_address = \"127.0.0.1:80\"\nadmin_address = \"127.0.0.1:80\"\n"
                problems(text).map { it.key } shouldBe listOf("admin_address")
            }
            it("reject a buffer limit below the maximum size of one body") {
                val text = validSettings + "[limits]\nmax_body_bytes = 4096\nmax_buffered_bytes = 2048\n"
                problems(text).map { it.key } shouldBe listOf("limits.max_buffered_bytes")
            }
            it("report a file that cannot be read") {
                SettingsReader.read(Path.of("no/such.toml")).shouldBeInstanceOf<ReadOutcome.Rejected>()
                    .problems.single().file shouldBe "no/such.toml"
            }
        }
    })
