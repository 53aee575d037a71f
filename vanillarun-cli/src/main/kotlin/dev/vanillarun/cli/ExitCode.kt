package dev.vanillarun.cli

/** Exit codes for scripts. */
public enum class ExitCode(
    /** Code of the process. */
    public val code: Int,
) {
    /** Done; nothing is amiss. */
    OK(code = 0),

    /** A problem was found: files that do not pass the check, a difference, an instance that lags. */
    PROBLEM(code = 1),

    /** The command line cannot be used. */
    USAGE(code = 2),

    /** Another operator's publication came first. */
    CONFLICT(code = 3),

    /** The platform or an instance did not answer, or the outcome is in doubt. */
    UNAVAILABLE(code = 4),
}
