/** @file event_table.h Events of the structured log and their fields. A test checks docs/OPERATIONS.md against this table. */
#pragma once

#include "core/event_log_func.h"

#include <array>
#include <string_view>

namespace skylark {

/** Name, part and fields of one kind of event. */
struct EventInfo {
    EventKind kind;
    std::string_view part; ///< Value of the field "part": the subsystem that logs the event.
    std::string_view name; ///< Value of the field "event".
    std::string_view fields; ///< Names of the fields besides ts, host, part, event and id, separated by spaces.
};

/** One row for each kind, in the order of the enumeration. */
inline constexpr std::array eventTable{
    EventInfo{EventKind::Start, "host", "start", "version role domain memory_mb"},
    EventInfo{EventKind::Stop, "host", "stop", "active"},
    EventInfo{EventKind::Stopped, "host", "stopped", "active waited_ms"},
    EventInfo{EventKind::Reload, "host", "reload", "changed"},
    EventInfo{EventKind::Settings, "host", "settings_refused", "detail"},
    EventInfo{EventKind::UnexpectedError, "host", "unexpected_error", "task detail"},
    EventInfo{EventKind::Ready, "host", "ready", "ready config targets"},
    EventInfo{EventKind::DependencyLost, "store", "dependency_lost", "dependency error detail"},
    EventInfo{EventKind::DependencyBack, "store", "dependency_back", "dependency down_ms"},
    EventInfo{EventKind::WatchReplaced, "store", "watch_replaced", "prefix reason age_ms"},
    EventInfo{EventKind::ConfigAdopted, "config", "config_adopted", "version before source routes workspaces keys repeated_keys"},
    EventInfo{EventKind::ConfigRefused, "config", "config_refused", "in_force detail"},
    EventInfo{EventKind::ConfigProof, "config", "config_proof", "state source age_ms version hosts rank failed"},
    EventInfo{EventKind::TargetChanged, "targets", "target_changed", "state source service version domain address"},
    EventInfo{EventKind::VersionChanged, "targets", "version_changed", "state service version"},
    EventInfo{EventKind::TargetRefused, "targets", "target_refused", "field detail"},
    EventInfo{EventKind::TargetEntryMissing, "targets", "target_entry_missing", "kept_ms return_age_ms written_revision return_revision"},
    EventInfo{EventKind::LinksChanged, "targets", "links_changed", "lost tried opened unreachable silent lasted_ms"},
    EventInfo{EventKind::PeerChanged, "peers", "peer_changed", "state domain address"},
    EventInfo{EventKind::Placed,
              "route",
              "placed",
              "route target version reason resumes after online batch peers_age_ms attempt config left_ms wait_ms kept_tokens kept_gain_ms"},
    EventInfo{EventKind::AttemptFailed, "route", "attempt_failed", "target error run detail ran_ms silent_ms events phase prompt_parts request"},
    EventInfo{EventKind::Resumed, "route", "resumed", "after"},
    EventInfo{EventKind::Relayed, "route", "relayed", "route host left_ms"},
    EventInfo{EventKind::RelayFailed, "route", "relay_failed", "host error run detail events"},
    EventInfo{EventKind::CallerResumed, "route", "caller_resumed", "route resumes after origin service version took_ms"},
    EventInfo{EventKind::UnsolicitedBytes, "targets", "unsolicited_bytes", "target"},
    EventInfo{EventKind::LimitChanged, "targets", "limit_changed", "source limited per_second sent"},
    EventInfo{EventKind::PartQuarantined, "route", "part_quarantined", "kind source crashes requests round lasts_ms"},
    EventInfo{EventKind::PartReleased, "route", "part_released", "kind round"},
    EventInfo{
        EventKind::Refused, "admit", "refused", "route reason online slots wait_ms allowed_wait_ms retry_after_ms config left_ms proof_age_ms workspace job"},
    EventInfo{EventKind::QuotaRefused,
              "admit",
              "quota_refused",
              "workspace reason per_second burst holders empty asks hosts hosts_age_ms waited_ms retry_after_ms config"},
    EventInfo{EventKind::QuotaRight, "admit", "quota_right", "state entry proved_for_ms grants_in_ms"},
    EventInfo{EventKind::ClientLimited, "admit", "client_limited", "cause bytes idle_ms held budget"},
    EventInfo{EventKind::Answered, "route", "answered", "route status outcome took_ms first_ms attempts events longest_gap_ms target"},
    EventInfo{EventKind::JobAccepted, "job", "job_accepted", "route workspace items tokens waiting limit conflicts took_ms"},
    EventInfo{EventKind::JobRefused, "job", "job_refused", "route reason workspace tokens waiting limit conflicts detail"},
    EventInfo{EventKind::JobClaimed, "job", "job_claimed", "from listed total"},
    EventInfo{EventKind::JobDropped, "job", "job_dropped", "owner ended"},
    EventInfo{EventKind::JobEnded, "job", "job_ended", "listed total"},
    EventInfo{EventKind::JobRead, "job", "job_read", "after results listed total revision followed_age_ms status"},
    EventInfo{EventKind::ItemStarted, "batch", "item_started", "job target after online batch slack_ms record_age_ms"},
    EventInfo{EventKind::ItemRestarted, "batch", "item_restarted", "job version events waited_ms"},
    EventInfo{EventKind::ItemYielded, "batch", "item_yielded", "job target events online"},
    EventInfo{EventKind::ItemFailed, "batch", "item_failed", "job target error detail failures events phase prompt_parts"},
    EventInfo{EventKind::ItemFinished, "batch", "item_finished", "job state events took_ms"},
    EventInfo{EventKind::ResultsListed, "job", "results_listed", "listed total revision"},
    EventInfo{EventKind::Dropped, "host", "lines_dropped", "lines"},
};
static_assert(eventTable.size() == static_cast<std::size_t>(EventKind::Count));

} // namespace skylark
