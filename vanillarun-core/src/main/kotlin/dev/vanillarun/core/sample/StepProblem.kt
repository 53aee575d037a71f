package dev.vanillarun.core.sample

/** Validation error of a submitted step. */
public data class StepProblem(
    /** JSON path of the invalid field, for instance `groups[3].samples`. */
    public val field: String,
    /** Description of the error and of the allowed values, for the trainer. */
    public val message: String,
)

private val trainerName = Regex("[a-z0-9][a-z0-9-]{0,62}")

/** Validates this step; empty if it can be accepted. */
public fun StepSpec.problems(): List<StepProblem> = buildList {
    if (!trainerName.matches(trainer)) {
        add(StepProblem("trainer", "must be 1 to 63 of a-z, 0-9 and '-', not starting with '-'"))
    }
    if (step < 0) add(StepProblem("step", "must be zero or more"))
    if (model.isBlank()) add(StepProblem("model", "must name a model route"))
    if (version < 0) add(StepProblem("version", "must be zero or more"))
    if (maxVersionLag < 0) add(StepProblem("max_version_lag", "must be zero or more"))
    if (deadlineMs <= 0) add(StepProblem("deadline_ms", "must be above zero"))
    addAll(groupProblems())
}

private fun StepSpec.groupProblems(): List<StepProblem> = buildList {
    if (groups.isEmpty()) add(StepProblem("groups", "must have at least one group"))
    if (groups.sumOf { it.samples.toLong() } > StepSpec.MAX_SAMPLES) {
        add(StepProblem("groups", "must have at most ${StepSpec.MAX_SAMPLES} samples together"))
    }
    val seen = mutableSetOf<String>()
    groups.forEachIndexed { position, group ->
        val field = "groups[$position]"
        if (group.id.isBlank()) add(StepProblem("$field.id", "must not be blank"))
        if (!seen.add(group.id)) add(StepProblem("$field.id", "must be unique: '${group.id}'"))
        if (group.samples <= 0) add(StepProblem("$field.samples", "must be above zero"))
        if (group.maxTokens <= 0) add(StepProblem("$field.max_tokens", "must be above zero"))
    }
}
