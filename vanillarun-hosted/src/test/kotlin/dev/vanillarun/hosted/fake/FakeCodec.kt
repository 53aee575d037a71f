package dev.vanillarun.hosted.fake

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.Announcement
import dev.vanillarun.hosted.catalog.CatalogCodec
import dev.vanillarun.hosted.catalog.OperatorRecord

/**
 * Codec for announcements of the form `SERVICE STATE` or `SERVICE STATE DATA_CENTRE`; the address is `ID:80`. Records
 * `evacuate/DATA_CENTRE` order evacuations.
 */
object FakeCodec : CatalogCodec {
    private const val EVACUATION = "evacuate/"

    override val operatorTopic = TopicName("op", keyed = true)
    override val targetTopic = TopicName("targets", keyed = true)

    override fun operatorRecord(key: String, value: ByteArray): OperatorRecord = if (key.startsWith(EVACUATION)) {
        OperatorRecord.EvacuationRequested(DataCentre(key.removePrefix(EVACUATION)))
    } else {
        OperatorRecord.Ignored("fake")
    }

    override fun announcement(key: String, value: ByteArray): Announcement {
        val words = value.decodeToString().split(' ')
        if (words.size !in 2..3) return Announcement.Unusable("form")
        return Announcement.Listed(
            Replica(
                id = TargetId(key),
                service = words[0],
                address = "$key:80",
                dataCentre = DataCentre(words.getOrElse(2) { "z" }),
                slots = 4,
                leaving = words[1] == "leaving",
            ),
        )
    }

    fun evacuate(log: FakeTopicLog, dataCentre: String) =
        log.put(operatorTopic, TopicRecord("$EVACUATION$dataCentre", byteArrayOf()))

    fun announceWhileDown(log: FakeTopicLog, withdrawn: String) = log.put(targetTopic, TopicRecord(withdrawn, null))

    suspend fun announce(log: FakeTopicLog, id: String, text: String?) {
        log.append(targetTopic, listOf(TopicRecord(id, text?.encodeToByteArray())))
    }
}
