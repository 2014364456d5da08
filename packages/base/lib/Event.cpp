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
