package dev.vanillarun.adapters.platform

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.platform.InstanceDirectory
import dev.vanillarun.core.platform.InstanceListing
import dev.vanillarun.core.platform.ListedInstance
import dev.vanillarun.core.platform.ListedState
import dev.vanillarun.core.platform.ListedTarget
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.platform.TargetOrder
import dev.vanillarun.core.platform.TargetOrdering
import dev.vanillarun.core.platform.UsageReport
import dev.vanillarun.core.platform.UsageReporting
import dev.vanillarun.core.platform.WeightStore
import dev.vanillarun.core.platform.WeightVersions
import dev.vanillarun.core.zone.DataCentre
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLPathPart
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * HTTP client for the platform APIs other than the log: instance list, target orders, usage reports, weight versions.
 *
 * @param base base URL of the platform, for instance `http://127.0.0.1:7000`
 * @param timeout limit for calls that do not take a timeout of their own
 */
public class HttpPlatform(
    private val client: HttpClient,
    private val base: String,
    private val timeout: Duration = 5.seconds,
) : InstanceDirectory,
    TargetOrdering,
    UsageReporting,
    WeightStore {
    private class TaggedListing(val tag: String, val listing: InstanceListing)

    private val cachedListing = AtomicReference<TaggedListing>()

    /** Reads the list with `If-None-Match`, and returns the cached listing if the platform answers 304. */
    override suspend fun list(): PlatformResult<InstanceListing> {
        val cached = cachedListing.get()
        val exchange = client.exchange(HttpMethod.Get, "$base/v1/instances", timeout) {
            cached?.let { header(HttpHeaders.IfNoneMatch, it.tag) }
        }
        val response = exchange as? ExchangeResult.Response
        if (cached != null && response?.status == HttpStatusCode.NotModified.value) {
            return PlatformResult.Answered(cached.listing)
        }
        val result = exchange.toResult { platformJson.decodeFromString<InstanceListingJson>(it).toListing() }
        if (result is PlatformResult.Answered) {
            cachedListing.set(response?.tag?.let { TaggedListing(it, result.value) })
        }
        return result
    }

    override suspend fun announce(instance: ListedInstance): PlatformResult<Unit> {
        val body = platformJson.encodeToString(ListedInstanceJson.serializer(), instance.toJson())
        return client.exchange(HttpMethod.Put, instanceUrl(instance.id), timeout, body).toResult {}
    }

    override suspend fun withdraw(id: InstanceId): PlatformResult<Unit> =
        client.exchange(HttpMethod.Delete, instanceUrl(id), timeout).toResult {}

    override suspend fun order(order: TargetOrder, guard: SendGuard, timeout: Duration): PlatformResult<Unit> {
        val body = platformJson.encodeToString(TargetOrderJson.serializer(), order.toJson())
        return client.exchange(HttpMethod.Post, "$base/v1/orders", timeout, body, guard).toResult {}
    }

    override suspend fun report(report: UsageReport, guard: SendGuard, timeout: Duration): PlatformResult<Unit> {
        val body = platformJson.encodeToString(UsageReportJson.serializer(), report.toJson())
        return client.exchange(HttpMethod.Post, "$base/v1/usage", timeout, body, guard).toResult {}
    }

    override suspend fun versions(): PlatformResult<WeightVersions> =
        client.exchange(HttpMethod.Get, "$base/v1/weights", timeout).toResult {
            val json = platformJson.decodeFromString<WeightVersionsJson>(it)
            WeightVersions(json.newest?.let(::WeightVersion), json.versions.sorted().map(::WeightVersion))
        }

    private fun instanceUrl(id: InstanceId): String = "$base/v1/instances/${id.value.encodeURLPathPart()}"
}

private fun <T : Any> ExchangeResult.toResult(decode: (String) -> T): PlatformResult<T> = when (this) {
    is ExchangeResult.NotSent -> PlatformResult.Refused(reason, DEFAULT_RETRY_AFTER)

    is ExchangeResult.Withheld -> PlatformResult.Withheld

    is ExchangeResult.Incomplete -> PlatformResult.InDoubt(reason)

    is ExchangeResult.Response -> when (status) {
        HttpStatusCode.OK.value ->
            decodeOrNull { PlatformResult.Answered(decode(body)) }
                ?: PlatformResult.InDoubt("response does not match the protocol")

        in refusalStatuses -> PlatformResult.Refused("status $status", retryAfter)

        else -> PlatformResult.InDoubt("status $status")
    }
}

private fun InstanceListingJson.toListing() = InstanceListing(
    age = ageMs.milliseconds,
    instances = instances.map {
        ListedInstance(
            id = InstanceId(it.id),
            dataCentre = DataCentre(it.dataCentre),
            callerAddress = it.callerAddress,
            peerAddress = it.peerAddress,
            adminAddress = it.adminAddress,
            state = stateOf(it.state),
        )
    },
    targets = targets.map { ListedTarget(TargetId(it.id), stateOf(it.state)) },
)

private fun stateOf(text: String): ListedState = if (text == LEAVING) ListedState.LEAVING else ListedState.LIVE

private fun ListedInstance.toJson() = ListedInstanceJson(
    id = id.value,
    dataCentre = dataCentre.name,
    callerAddress = callerAddress,
    peerAddress = peerAddress,
    adminAddress = adminAddress,
    state = if (state == ListedState.LEAVING) LEAVING else LIVE,
)

private fun TargetOrder.toJson() = TargetOrderJson(
    id = id,
    dataCentre = dataCentre.name,
    route = route.value,
    desired = desired,
    term = term.value,
    issuer = issuer.value,
)

private fun UsageReport.toJson() = UsageReportJson(
    window = window,
    term = term.value,
    reporter = reporter.value,
    figures = figures.map { UsageFigureJson(it.customer.value, it.requests, it.promptTokens, it.generatedTokens) },
)
