/** @file quota_table_func.h Keeps a host's state of the request quotas; without a clock, sockets or threads. */
#pragma once

#include "quota/quota_table_type.h"

#include <map>

namespace skylark {

/** Sets the hosts of the fleet. @param hosts All hosts, this one included; empty while they are not known. */
void setQuotaHosts(QuotaTable &table, std::vector<QuotaPeer> hosts, TimePoint now);

/** Sets the quotas of a configuration. State of workspaces that have none any more is dropped. */
void setQuotaLimits(QuotaTable &table, const std::map<WorkspaceId, QuotaLimit> &limits, TimePoint now);

/** @return The answer to the request of another host for tokens; @c retryAfter is 0 when this host has no right to grant. */
[[nodiscard]] QuotaGrantMessage answerQuotaRequest(QuotaTable &table, const QuotaRequestMessage &request, TimePoint now);

/** Begins a request of a caller. */
[[nodiscard]] QuotaAttempt beginAttempt(QuotaTable &table, const WorkspaceId &workspace, TimePoint now);

/** Decides what to do next for a request, and takes its token if there is one. */
[[nodiscard]] QuotaStep nextStep(QuotaTable &table, QuotaAttempt &attempt, TimePoint now);

/** Records the answer of a holder. @return Tokens for the request that asked: 1 or 0; empty when no request waits for the answer. */
[[nodiscard]] std::optional<unsigned> recordGrant(QuotaTable &table, const QuotaGrantMessage &grant, TimePoint now);

/** Records that a holder has not answered in time. */
void recordSilence(QuotaTable &table, std::uint64_t number, TimePoint now);

/** Counts a request that was admitted by the answer of another holder; nextStep() counts those that need none. */
void recordAdmitted(QuotaTable &table, const WorkspaceId &workspace, TimePoint now);

} // namespace skylark
