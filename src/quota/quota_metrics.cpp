/** @file quota_metrics.cpp Metrics of the request quotas. */
#include "metrics/metrics_func.h"
#include "policy/request_quota_func.h"
#include "quota/request_quotas_base.h"

#include <algorithm>
#include <sstream>

namespace skylark {

namespace {

constexpr std::size_t namedWorkspaces = 20; ///< Bounds the number of series.

/** Requests of one workspace. */
struct WorkspaceRates {
    std::string name;
    double admitted{0};
    double refused{0};
};

/** @return The busiest workspaces, and the sum of the others under an empty name. */
std::vector<WorkspaceRates> busiestWorkspaces(const QuotaTable &table, TimePoint now)
{
    std::vector<WorkspaceRates> all;
    all.reserve(table.workspaces.size());
    for (const auto &[id, quota] : table.workspaces) {
        all.push_back({id.value, rateAt(quota.admitted, now), rateAt(quota.refused, now)});
    }
    std::sort(all.begin(), all.end(), [](const WorkspaceRates &a, const WorkspaceRates &b) {
        return a.admitted + a.refused > b.admitted + b.refused;
    });
    WorkspaceRates rest;
    for (std::size_t i = namedWorkspaces; i < all.size(); ++i) {
        rest.admitted += all[i].admitted;
        rest.refused += all[i].refused;
    }
    all.resize(std::min(all.size(), namedWorkspaces));
    all.push_back(rest);
    return all;
}

void writeSeries(std::ostringstream &out, std::string_view name, std::string_view label, std::string_view value, double number)
{
    out << name;
    if (!label.empty()) {
        out << '{' << label << "=\"" << value << "\"}";
    }
    out << ' ' << number << '\n';
}

void writeCounts(std::ostringstream &out, const QuotaCounts &counts)
{
    const auto write = [&out](std::string_view name, std::string_view label, std::string_view value, std::uint64_t number) {
        writeSeries(out, name, label, value, static_cast<double>(number));
    };
    out << "# TYPE skylark_quota_requests_total counter\n";
    write("skylark_quota_requests_total", "outcome", "admitted", counts.admitted);
    write("skylark_quota_requests_total", "outcome", "over_quota", counts.refusedEmpty);
    write("skylark_quota_requests_total", "outcome", "unknown", counts.refusedUnknown);
    out << "# TYPE skylark_quota_tokens_total counter\n";
    write("skylark_quota_tokens_total", "state", "granted", counts.tokensGranted);
    write("skylark_quota_tokens_total", "state", "received", counts.tokensReceived);
    write("skylark_quota_tokens_total", "state", "late", counts.tokensLate);
    write("skylark_quota_tokens_total", "state", "lapsed", counts.tokensLapsed);
    out << "# TYPE skylark_quota_asks_total counter\n";
    write("skylark_quota_asks_total", "answer", "any", counts.asks);
    write("skylark_quota_asks_total", "answer", "empty", counts.answersEmpty);
    write("skylark_quota_asks_total", "answer", "no_right", counts.answersNoRight);
    write("skylark_quota_asks_total", "answer", "none", counts.silent);
    out << "# TYPE skylark_quota_no_right_total counter\n";
    write("skylark_quota_no_right_total", "", "", counts.requestsRefusedNoRight);
}

} // namespace

std::string quotaMetricsText(const RequestQuotas &quotas)
{
    const TimePoint now = BootClock::now();
    if (quotas.table.workspaces.empty()) {
        return {};
    }
    std::ostringstream out;
    out.precision(12);
    writeCounts(out, quotas.table.counts);
    out << "# TYPE skylark_quota_may_grant gauge\nskylark_quota_may_grant " << (mayGrant(quotas.table.lease, now) ? 1 : 0) << '\n';
    out << "# TYPE skylark_quota_workspace_requests_per_second gauge\n";
    for (const WorkspaceRates &rates : busiestWorkspaces(quotas.table, now)) {
        const std::string labels = "{workspace=\"" + escapeMetricLabel(rates.name) + "\",outcome=\"";
        out << "skylark_quota_workspace_requests_per_second" << labels << "admitted\"} " << rates.admitted << '\n';
        out << "skylark_quota_workspace_requests_per_second" << labels << "refused\"} " << rates.refused << '\n';
    }
    return out.str();
}

} // namespace skylark
