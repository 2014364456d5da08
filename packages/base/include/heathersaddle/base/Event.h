#ifndef HEATHERSADDLE_BASE_EVENT_H
#define HEATHERSADDLE_BASE_EVENT_H

#include <optional>
#include <span>
#include <string_view>

namespace heathersaddle::base {

enum class Severity { Debug, Info, Warning, Error };

std::string_view name(Severity S);
/// Reads the name of a severity, e.g. "warning".
std::optional<Severity> severity(std::string_view Name);

/// A kind of log line. A number never changes its meaning; docs/events.md lists
/// all events.
struct Event {
  unsigned Number = 0;
  std::string_view Name;
  Severity Level = Severity::Info;
};

/// All events in the order of their numbers.
std::span<const Event> events();
/// The event with this number, or null.
const Event *findEvent(unsigned Number);

/// Numbers of the events of the process itself and of its callers.
namespace event {
// Process
inline constexpr unsigned Started = 100;
inline constexpr unsigned Listening = 101;
inline constexpr unsigned Ready = 102;
inline constexpr unsigned NotReady = 103;
inline constexpr unsigned StopRequested = 104;
inline constexpr unsigned Drained = 105;
inline constexpr unsigned Stopped = 106;
inline constexpr unsigned StopOverdue = 107;
inline constexpr unsigned StartFailed = 108;
inline constexpr unsigned SettingsInvalid = 109;
// Callers
inline constexpr unsigned CallerRejected = 200;
inline constexpr unsigned OperatorPublished = 201;
inline constexpr unsigned PeerRejected = 202;
} // namespace event

} // namespace heathersaddle::base

#endif
