package dev.vanillarun.bench.policy

import dev.vanillarun.core.routing.CompletionParameters
import dev.vanillarun.core.routing.ExpectedCompletionSelector
import dev.vanillarun.core.routing.LeastOutstandingSelector
import dev.vanillarun.core.routing.PowerOfTwoChoicesSelector
import dev.vanillarun.core.routing.RoundRobinSelector
import dev.vanillarun.core.routing.TargetSelector
import kotlin.random.Random

/** The selectors that are compared, the baseline first. */
internal enum class SelectorKind(val label: String, val create: (Random) -> TargetSelector) {
    ROUND_ROBIN("round-robin", { RoundRobinSelector() }),
    LEAST_OUTSTANDING("least-outstanding", { LeastOutstandingSelector }),
    TWO_CHOICES("two-choices", { PowerOfTwoChoicesSelector(it) }),
    EXPECTED_COMPLETION("expected-completion", { ExpectedCompletionSelector(Fleets.zones.first(), it) }),
    HOSTED_CALLS(
        "hosted-calls",
        { ExpectedCompletionSelector(Fleets.zones.first(), it, CompletionParameters.ForCalls) },
    ),
    HOSTED_SAMPLES("hosted-samples", { ExpectedCompletionSelector(null, it, CompletionParameters.ForSamples) }),
}
