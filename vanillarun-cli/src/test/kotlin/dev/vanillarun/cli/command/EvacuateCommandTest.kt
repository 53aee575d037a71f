package dev.vanillarun.cli.command

import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.standin.fault.Fault
import dev.vanillarun.standin.fault.FaultKind
import dev.vanillarun.standin.platform.RunningPlatform
import dev.vanillarun.standin.platform.startPlatform
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Path

private val example = listOf(Path.of("..", "examples", "ferraresi"))
private val torino = DataCentre("torino")

class EvacuateCommandTest :
    DescribeSpec({
        suspend fun withPlatform(block: suspend (RunningPlatform, Deployment) -> Unit) {
            startPlatform().use { platform -> Deployment.use("http://${platform.address}") { block(platform, it) } }
        }

        suspend fun Deployment.order(dataCentre: DataCentre, end: Boolean = false) =
            evacuate(this, dataCentre, end, "anna", "power works")

        suspend fun Deployment.evacuated() = (publisher.current() as CurrentConfig.Known).inForce?.config?.evacuated

        describe("an evacuation") {
            it("is published once, shown by status and the history, and taken back") {
                withPlatform { _, deployment ->
                    publish(deployment, PublishRequest(example, "anna", "first"))
                    deployment.order(torino).answer.text shouldContain "+ evacuation of torino"
                    deployment.order(torino).answer.text.single() shouldContain "already in force"
                    deployment.evacuated() shouldBe listOf(torino)
                    status(deployment).text.first { "evacuated" in it } shouldContain "evacuate torino --end"
                    history(deployment).text.joinToString() shouldContain "power works"
                    deployment.order(torino, end = true).answer.exit shouldBe ExitCode.OK
                    deployment.evacuated() shouldBe emptyList()
                }
            }
            it("stays in force when the files are published again") {
                withPlatform { _, deployment ->
                    publish(deployment, PublishRequest(example, "anna", "first"))
                    deployment.order(torino)
                    publish(deployment, PublishRequest(example, "anna", "again")).answer.exit shouldBe ExitCode.OK
                    deployment.evacuated() shouldBe listOf(torino)
                }
            }
            it("of a data centre without targets is a problem that names the others") {
                withPlatform { _, deployment ->
                    publish(deployment, PublishRequest(example, "anna", "first"))
                    val answer = deployment.order(DataCentre("roma")).answer
                    answer.exit shouldBe ExitCode.PROBLEM
                    answer.text.joinToString() shouldContain "torino"
                }
            }
            it("says that nothing was written when the log refuses") {
                withPlatform { platform, deployment ->
                    publish(deployment, PublishRequest(example, "anna", "first"))
                    platform.faults.arm(Fault("f", "log.append", FaultKind.REFUSE, count = 0))
                    val answer = deployment.order(torino).answer
                    answer.exit shouldBe ExitCode.UNAVAILABLE
                    answer.text.single() shouldContain "nothing was written"
                }
            }
        }
    })
