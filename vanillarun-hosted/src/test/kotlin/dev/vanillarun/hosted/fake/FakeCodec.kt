package dev.vanillarun.hosted.fake

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.Announcement
import dev.vanillarun.hosted.catalog.CatalogCodec
import dev.vanillarun.hosted.catalog.OperatorRecord

/** Codec for announcements of the form `SERVICE STATE`; the address is `ID:80`. */
object FakeCodec : CatalogCodec {
    override val operatorTopic = TopicName("op", keyed = true)
    override val targetTopic = TopicName("targets", keyed = true)

    override fun operatorRecord(key: String, value: ByteArray): OperatorRecord = OperatorRecord.Ignored("fake")

    override fun announcement(key: String, value: ByteArray): Announcement {
        val words = value.decodeToString().split(' ')
        if (words.size != 2) return Announcement.Unusable("form")
        return Announcement.Listed(
            Replica(TargetId(key), words[0], "$key:80", DataCentre("z"), slots = 4, leaving = words[1] == "leaving"),
        )
    }

    fun announceWhileDown(log: FakeTopicLog, withdrawn: String) = log.put(targetTopic, TopicRecord(withdrawn, null))

    suspend fun announce(log: FakeTopicLog, id: String, text: String?) {
        log.append(targetTopic, listOf(TopicRecord(id, text?.encodeToByteArray())))
    }
}
