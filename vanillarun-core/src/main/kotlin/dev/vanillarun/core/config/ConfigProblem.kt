package dev.vanillarun.core.config

/** Error in a configuration that must be corrected before it can be published. */
public data class ConfigProblem(
    /** Path of the field in the names of configuration files, for instance `customers[3].keys[0].sha256`. */
    public val key: String,
    /** Description of the error and how to correct it, without the key. */
    public val message: String,
    /** True if the field refers to another element, so that an error there may be the cause. */
    public val isReference: Boolean = false,
)

/** Collects the problems of a configuration. */
internal class ProblemList {
    private val found = mutableListOf<ConfigProblem>()

    /** Problems found so far, in the order of the checks. */
    val problems: List<ConfigProblem> get() = found.toList()

    /** Adds a problem unless [ok]. */
    fun check(ok: Boolean, key: String, message: () -> String) {
        if (!ok) found += ConfigProblem(key, message())
    }

    /** Adds a problem unless [ok], for a [key] that refers to another element of the configuration. */
    fun checkReference(ok: Boolean, key: String, message: () -> String) {
        if (!ok) found += ConfigProblem(key, message(), isReference = true)
    }

    /** Adds a problem unless [value] is in [range]. */
    fun checkRange(value: Long, range: LongRange, key: String) {
        check(value in range, key) { "has to lie between ${range.first} and ${range.last}, but is $value" }
    }

    /** Adds a problem unless [value] is a well-formed name. */
    fun checkName(value: String, key: String) {
        check(NAME.matches(value), key) { "has to be 1 to 64 of a-z, 0-9, dot, dash and underscore, but is \"$value\"" }
    }

    /** Adds a problem for each of [values] that repeats an earlier one; [keyOf] gives the key of an index. */
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
