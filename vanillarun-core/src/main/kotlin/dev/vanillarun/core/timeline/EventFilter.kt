package dev.vanillarun.core.timeline

/** Selects events by the objects that they concern; all fields must match, and null matches every event. */
public data class EventFilter(
    /** Identity of the request, compared with [EventLinks.request]. */
    public val request: String? = null,
    /** Name of the duty, compared with [EventLinks.duty]. */
    public val duty: String? = null,
    /** Name of the sample, or a prefix of whole path segments such as `trainer/step`. */
    public val sample: String? = null,
) {
    /** True if [event] matches all fields. */
    public fun matches(event: Event): Boolean {
        val links = event.links
        return (request == null || links.request == request) &&
            (duty == null || links.duty == duty) &&
            (sample == null || links.sample == sample || links.sample?.startsWith("$sample/") == true)
    }
}

/** Timeline of the events that match [filter], in the same order; missing causes are kept as they are. */
public fun Timeline.filter(filter: EventFilter): Timeline =
    copy(events = events.filter(filter::matches), cyclic = cyclic.filter(filter::matches))
