package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.catalog.CatalogCustomer
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.Region
import dev.vanillarun.hosted.catalog.CatalogCodec
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.OperatorRecord
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch

class JobOwnershipTest :
    DescribeSpec({
        val customer = CustomerId("c")
        val job = Job(JobId("j"), customer, "h", "/", submittedAt = 0, model = "m")

        /** The instance stands in region `a`, and the store grants every slot to every member of a group. */
        suspend fun owns(allowed: Set<String>, log: FakeTopicLog = FakeTopicLog()): Boolean = coroutineScope {
            val codec = object : CatalogCodec by FakeCodec {
                override fun operatorRecord(key: String, value: ByteArray): OperatorRecord {
                    val known = CatalogCustomer(customer, regions = allowed.mapTo(HashSet(), ::Region))
                    return OperatorRecord.CatalogPublished(Catalog(version = 1, customers = mapOf(customer to known)))
                }
            }
            val source = CatalogSource(log, codec, ManualClock(), NoOpEventRecorder)
            val own = SlotMembership(log, "i", NoOpEventRecorder, region = Region("a")) {
                source.catalog.value?.limitsRegions == true
            }
            val all = SlotMembership(FakeTopicLog(), "i", NoOpEventRecorder)
            log.put(codec.operatorTopic, TopicRecord("catalog", byteArrayOf()))
            launch { source.follower.run() }
            val catalog = checkNotNull(source.catalog.first { it != null })
            listOf(own, all).forEach { launch { it.run() } }
            all.grant.first { it.slots.isNotEmpty() }
            if (catalog.limitsRegions) own.grant.first { it.slots.isNotEmpty() }
            val regional = RegionalSlots(Region("a"), own)
            JobOwnership(source, all, regional, setOf(Region("a"), Region("b"))).owns(job)
                .also { coroutineContext.cancelChildren() }
        }

        describe("a job of a customer whose data must stay in some regions") {
            it("is run by an instance there, by one region of several, and by none elsewhere") {
                owns(setOf("a")) shouldBe true
                owns(setOf("a", "b")) shouldBe true
                owns(setOf("b")) shouldBe false
                owns(setOf("nowhere")) shouldBe false
            }
        }
        describe("a job that may be anywhere") {
            it("is run as before, and no group of a region is joined") {
                val log = FakeTopicLog()
                owns(emptySet(), log) shouldBe true
                log.members.shouldBeEmpty()
            }
        }
    })
