package dev.vanillarun.core.log

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Result of decoding a record. */
public sealed interface DecodedRecord {
    /** The record has a known type. */
    public data class Known(
        /** The decoded record. */
        public val envelope: Envelope,
    ) : DecodedRecord

    /** The record is well-formed, but this build does not know its type. Readers count it and skip it. */
    public data class Unknown(
        /** Type name in the body of the record. */
        public val type: String,
    ) : DecodedRecord

    /** The payload is not a valid record. Readers report it and skip it. */
    public data class Damaged(
        /** Description of the decoding error, for messages. */
        public val reason: String,
    ) : DecodedRecord
}

/** Converts records to and from JSON, one object for each record. */
public object RecordCodec {
    private val json = Json { ignoreUnknownKeys = true }
    private val knownTypes =
        RecordBody.serializer().descriptor.let { sealed ->
            val cases = sealed.getElementDescriptor(1)
            (0 until cases.elementsCount).map(cases::getElementName).toSet()
        }

    /** Encodes [envelope] as a JSON object. */
    public fun encode(envelope: Envelope): String = json.encodeToString(Envelope.serializer(), envelope)

    /** Decodes [payload]. Never throws: errors are returned as [DecodedRecord.Damaged]. */
    public fun decode(payload: String): DecodedRecord = try {
        val element = json.parseToJsonElement(payload)
        val type = typeOf(element)
        when {
            type == null -> DecodedRecord.Damaged(reason = "no body type")
            type !in knownTypes -> DecodedRecord.Unknown(type)
            else -> DecodedRecord.Known(json.decodeFromJsonElement(Envelope.serializer(), element))
        }
    } catch (e: SerializationException) {
        DecodedRecord.Damaged(reason = e.message.orEmpty())
    } catch (e: IllegalArgumentException) {
        DecodedRecord.Damaged(reason = e.message.orEmpty())
    }

    private fun typeOf(element: JsonElement): String? = element.jsonObject["body"]
        ?.jsonObject
        ?.get("type")
        ?.jsonPrimitive
        ?.contentOrNull
}
