package dev.vanillarun.standin.engine

/** Kind of work that an engine takes. */
public enum class EngineRole(
    /** Name in orders and load reports. */
    public val wire: String,
) {
    /** Everything. */
    MIXED("mixed"),

    /** Reads prompts into its cache for others to import, and generates no more than one token. */
    PREFILL("prefill"),

    /** Generates after prompts whose KV cache it has. */
    DECODE("decode"),
    ;

    /** True if an engine of this role takes a request for [maxTokens] after a prompt that is [cached] or not. */
    public fun takes(maxTokens: Int, cached: Boolean): Boolean = when (this) {
        MIXED -> true
        PREFILL -> maxTokens <= 1
        DECODE -> cached
    }

    /** Reading of names. */
    public companion object {
        /** The role named [wire], or null. */
        public fun of(wire: String): EngineRole? = entries.find { it.wire == wire }
    }
}

/** What orders change beside the weights; safe for concurrent use. */
internal class EngineState(models: List<String>) {
    /** Models and adapters that can be served. */
    @Volatile
    var models: List<String> = models
        private set

    /** Kind of work. */
    @Volatile
    var role: EngineRole = EngineRole.MIXED

    /** Makes [adapter] servable. */
    @Synchronized
    fun loadAdapter(adapter: String) {
        models = (models + adapter).distinct()
    }
}
