package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobItem
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobTable
import dev.vanillarun.core.job.RewardCall
import dev.vanillarun.core.store.AppendLimits
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.util.Base64
import kotlin.random.Random

private const val SEED = 7

/** Maximum record size of the store: 256 KB. */
private const val MAX_RECORD_BYTES = 262_144

class JobRecordsTest :
    DescribeSpec({
        describe("the record of a job") {
            val bytes = Random(SEED)

            fun encoded(size: Int) = Base64.getEncoder().encodeToString(bytes.nextBytes(size))

            fun step(samples: Int): JobRecord.Submitted {
                val items = (1..samples).map {
                    val reward = RewardCall("score-$it", "host.example", "/score/$it", encoded(600))
                    val headers = mapOf("Model" to "m", "Prompt-Prefix" to "9c2e41:300,${encoded(6)}:240")
                    JobItem(
                        ItemId("item-$it"),
                        "/route/$it",
                        headers,
                        encoded(600),
                        "group-${it / 8}",
                        900,
                        300,
                        reward,
                    )
                }
                return JobRecord.Submitted(Job(JobId("large"), null, "host.example", "/route/", 1, items = items))
            }

            it("holds a step of 150 samples within what a store takes for one") {
                val record = step(samples = 150)
                val stored = JobRecords.encode(record, writer = "w.1").first()
                stored.value.shouldNotBeNull().size shouldBeLessThan MAX_RECORD_BYTES
                JobRecords.decode(stored.key, stored.value) shouldBe JobRecord.Items(record.content)
                JobRecords.decode(stored.key, stored.value?.copyOf(1000)) shouldBe null
            }
            it("is several records if a step is larger, each and all within the limits of the store") {
                val record = step(samples = 1000)
                val stored = JobRecords.encode(record, writer = "w.1")
                AppendLimits().violation(stored) shouldBe null
                val table = stored.mapNotNull { JobRecords.decode(it.key, it.value) }.fold(JobTable(), JobTable::apply)
                table.jobs.getValue(record.job).job shouldBe record.content
            }
            it("is uncompressed JSON if it is small") {
                val record = JobRecord.Submitted(Job(JobId("small"), null, "host.example", "/route/", 1))
                val stored = JobRecords.encode(record, writer = "w.1").first()
                stored.value.shouldNotBeNull().decodeToString().first() shouldBe '{'
                JobRecords.decode(stored.key, stored.value) shouldBe record
                JobRecords.decode(stored.key, null) shouldBe null
            }
        }
    })
