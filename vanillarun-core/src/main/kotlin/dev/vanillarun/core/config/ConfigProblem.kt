package dev.vanillarun.core.config

/** Something in a configuration that must be mended before it can be published. */
public data class ConfigProblem(
    /** Key, with the names that files use, for instance `customers[3].keys[0].sha256`. */
    public val key: String,
    /** What is wrong, and what to do about it. */
    public val message: String,
    /** True if the key refers to another part, so that a mistake there may be the cause. */
    public val isReference: Boolean = false,
)

/** Collects problems of one part of a configuration. */
internal class ProblemList {
    private val found = mutableListOf<ConfigProblem>()

    /** Everything found so far, in the order it was found. */
    val problems: List<ConfigProblem> get() = found.toList()

    /** Notes a problem unless [ok]. */
    fun check(ok: Boolean, key: String, message: () -> String) {
        if (!ok) found += ConfigProblem(key, message())
    }

    /** Notes a problem unless [ok], where [key] refers to another part of the configuration. */
    fun checkReference(ok: Boolean, key: String, message: () -> String) {
        if (!ok) found += ConfigProblem(key, message(), isReference = true)
    }

    /** Notes a problem unless [value] lies in [range]. */
    fun checkRange(value: Long, range: LongRange, key: String) {
        check(value in range, key) { "has to lie between ${range.first} and ${range.last}, but is $value" }
    }

    /** Notes a problem unless [value] is a well-formed name. */
    fun checkName(value: String, key: String) {
        check(NAME.matches(value), key) { "has to be 1 to 64 of a-z, 0-9, dot, dash and underscore, but is \"$value\"" }
    }

    /** Notes a problem for each of [values] that an earlier one repeats; [keyOf] names the key of an index. */
    fun <T> checkDistinct(values: List<T>, keyOf: (Int) -> String) {
        val firsts = HashMap<T, Int>()
        values.forEachIndexed { i, value ->
            val first = firsts.putIfAbsent(value, i)
            check(first == null, keyOf(i)) { "\"$value\" is already taken by ${keyOf(first ?: i)}; give another" }
        }
    }

    private companion object {
        val NAME = Regex("[a-z0-9][a-z0-9._-]{0,63}")
    }
}
