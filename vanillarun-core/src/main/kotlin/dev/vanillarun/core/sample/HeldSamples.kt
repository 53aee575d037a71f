package dev.vanillarun.core.sample

import java.util.Base64
import java.util.BitSet

/**
 * Set of the samples that a trainer has stored, by ordinal. Its text form is the cursor of a pull.
 *
 * The trainer stores the cursor together with the samples that came with it and sends it with the next pull. Any
 * instance can derive the missing samples from the cursor, so that delivery does not depend on an instance's state.
 *
 * ```
 * val held = HeldSamples.none(spec).with(setOf(0, 3))
 * HeldSamples.parse(held.cursor(), spec) // Parsed(held)
 * ```
 */
public class HeldSamples private constructor(
    private val fingerprint: String,
    private val size: Int,
    private val bits: BitSet,
) {
    /** Number of samples in this set. */
    public val count: Int get() = bits.cardinality()

    /** True if the set contains every sample of the step. */
    public val complete: Boolean get() = count == size

    /** True if the set contains the sample with this [ordinal]. */
    public operator fun contains(ordinal: Int): Boolean = bits[ordinal]

    /** Union of this set and [ordinals], which must be valid for the step. */
    public fun with(ordinals: Iterable<Int>): HeldSamples {
        val copy = bits.clone() as BitSet
        ordinals.forEach(copy::set)
        return HeldSamples(fingerprint, size, copy)
    }

    /** Ordinals of the step that the set lacks, ascending. */
    public fun missing(): List<Int> = (0 until size).filterNot(bits::get)

    /** Text form: the step's fingerprint and a bit set in URL-safe Base64, about one character for six samples. */
    public fun cursor(): String = "$fingerprint.${encoder.encodeToString(bits.toByteArray())}"

    override fun equals(other: Any?): Boolean =
        other is HeldSamples && fingerprint == other.fingerprint && size == other.size && bits == other.bits

    override fun hashCode(): Int = fingerprint.hashCode() * HASH_FACTOR + bits.hashCode()

    override fun toString(): String = "HeldSamples($count of $size)"

    /** Result of [parse]. */
    public sealed interface Parse {
        /** The text is a valid cursor of the step. */
        public data class Parsed(
            /** Samples that the cursor names. */
            public val held: HeldSamples,
        ) : Parse

        /** The text is damaged or belongs to another step. */
        public data class Invalid(
            /** Description of the error, for the trainer. */
            public val reason: String,
        ) : Parse
    }

    /** Creates sets, and parses cursors. */
    public companion object {
        private const val HASH_FACTOR = 31
        private val encoder = Base64.getUrlEncoder().withoutPadding()
        private val decoder = Base64.getUrlDecoder()

        /** Empty set for [spec]. */
        public fun none(spec: StepSpec): HeldSamples = HeldSamples(spec.fingerprint(), spec.size, BitSet())

        /**
         * Parses [cursor]. An empty text is the cursor of the first pull and names no sample; a cursor with another
         * fingerprint than that of [spec] is invalid.
         */
        public fun parse(cursor: String, spec: StepSpec): Parse {
            if (cursor.isEmpty()) return Parse.Parsed(none(spec))
            val fingerprint = cursor.substringBefore('.')
            if (fingerprint != spec.fingerprint()) return Parse.Invalid("the cursor belongs to another step")
            val bits =
                try {
                    BitSet.valueOf(decoder.decode(cursor.substringAfter('.', missingDelimiterValue = "")))
                } catch (e: IllegalArgumentException) {
                    return Parse.Invalid("the cursor is damaged: ${e.message}")
                }
            if (bits.length() > spec.size) return Parse.Invalid("the cursor names samples that the step lacks")
            return Parse.Parsed(HeldSamples(fingerprint, spec.size, bits))
        }
    }
}
