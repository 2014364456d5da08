#include "heathersaddle/base/Event.h"
#include <algorithm>
#include <array>

namespace heathersaddle::base {

using enum Severity;

static constexpr Event Table[] = {
    {event::Started, "started", Info},
    {event::Listening, "listening", Info},
    {event::Ready, "ready", Info},
    {event::NotReady, "not_ready", Warning},
    {event::StopRequested, "stop_requested", Info},
    {event::Drained, "drained", Info},
    {event::Stopped, "stopped", Info},
    {event::StopOverdue, "stop_overdue", Warning},
    {event::StartFailed, "start_failed", Error},
    {event::SettingsInvalid, "settings_invalid", Error},
    {event::CallerRejected, "caller_rejected", Debug},
    {event::OperatorPublished, "operator_published", Info},
    {event::PeerRejected, "peer_rejected", Warning},
    // Package control, which defines its event numbers itself.
    {300, "state_recovered", Info},
    {301, "log_trimmed", Warning},
    {302, "log_down", Warning},
    {303, "log_up", Info},
    {304, "cell_claimed", Info},
    {305, "cell_deposed", Warning},
    {306, "cell_released", Info},
    {307, "worker_lost", Warning},
    {308, "worker_back", Info},
    {309, "worker_restarted", Warning},
    {310, "record_voided", Warning},
    {311, "snapshot_written", Info},
    {312, "snapshot_invalid", Error},
    // Package cluster and the adapter; JSON lines on standard output.
    {400, "ownership_won", Info},
    {401, "ownership_lost", Warning},
    {402, "store_regained", Info},
    {403, "store_lost", Warning},
    {404, "configuration_in_force", Info},
    {405, "record_unreadable", Error},
    {406, "configuration_unreadable", Error},
    {407, "worker_silent", Warning},
    {408, "worker_unlisted", Warning},
    {409, "worker_reborn", Warning},
    {410, "worker_draining", Info},
    {411, "worker_heard", Info},
    {412, "run_vanished", Warning},
    {413, "run_stray", Warning},
    {414, "run_lost", Warning},
    {415, "run_stuck", Warning},
    {416, "start_refused", Warning},
    {417, "start_given_up", Warning},
    {418, "unit_stopped", Info},
    {419, "job_stopped", Info},
    {420, "worker_failing", Warning},
    {421, "run_failed", Info},
    {422, "job_ended", Info},
    {423, "tasks_placed", Info},
    {424, "ownership_claimed", Info},
    {425, "job_accepted", Info},
    {426, "job_refused", Info},
    {427, "cancel_requested", Info},
    {428, "call_failed", Debug},
    {429, "request_answered", Debug},
    {430, "settings_reloaded", Info},
    {431, "run_ended", Info},
    {432, "workers_unreachable", Warning},
    {433, "advice_failed", Warning},
    {434, "advice_given", Info},
    {435, "work_evacuated", Info},
    {436, "checkpoint_dropped", Warning},
    {437, "worker_slow", Warning},
    {438, "request_passed_on", Info},
    {439, "work_waits", Info},
    {440, "placement_refused", Error},
    {441, "task_suspected", Warning},
    {442, "task_given_up", Warning},
    {443, "orders_paused", Warning},
    {444, "orders_resumed", Info},
    {445, "calls_held_back", Warning},
    {446, "drain_requested", Info},
    {447, "drain_withdrawn", Info},
    {448, "starts_wait_for_operator", Warning},
    {449, "drain_begun", Info},
    {450, "submission_dropped", Info},
    {451, "process_paused", Warning},
    {452, "event_failed", Error},
    {453, "process_ends", Error},
    {454, "client_connections_limited", Warning},
    {455, "client_memory_limited", Warning},
    {456, "clients_slow", Info},
    {457, "requests_oversized", Info},
    {458, "worker_speed_changed", Info},
    {459, "worker_speeds_differ", Info},
    {460, "worker_speeds_forgotten", Info},
    {461, "topic_late", Warning},
    {462, "topic_current", Info},
    {463, "event_loop_late", Warning},
    {464, "task_cleared", Info},
    {465, "record_shrunk", Warning},
    {466, "record_withheld", Error},
    {467, "record_stored_again", Info},
};

static constexpr std::array<std::string_view, 4> Severities = {
    "debug", "info", "warning", "error"};

std::string_view name(Severity S) {
  return Severities[static_cast<std::size_t>(S)];
}

std::optional<Severity> severity(std::string_view Name) {
  auto Found = std::find(Severities.begin(), Severities.end(), Name);
  if (Found == Severities.end())
    return std::nullopt;
  return static_cast<Severity>(Found - Severities.begin());
}

std::span<const Event> events() { return Table; }

const Event *findEvent(unsigned Number) {
  auto Found = std::lower_bound(
      std::begin(Table), std::end(Table), Number,
      [](const Event &E, unsigned Wanted) { return E.Number < Wanted; });
  return Found != std::end(Table) && Found->Number == Number ? Found : nullptr;
}

} // namespace heathersaddle::base
