#include "heathersaddle/base/StructuredLog.h"
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace heathersaddle::base {

namespace json = boost::json;

StructuredLog::StructuredLog(int Descriptor, std::string_view Daemon)
    : Descriptor(Descriptor), Daemon(Daemon) {
  int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

bool StructuredLog::flush() {
  while (!Unwritten.empty()) {
    auto Written = ::write(Descriptor, Unwritten.data(), Unwritten.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      return false;
    Unwritten.erase(0, static_cast<std::size_t>(Written));
  }
  return true;
}

void StructuredLog::write(unsigned EventNumber, WallMs Now, LogFields Fields) {
  const Event *E = findEvent(EventNumber);
  Severity Level = E ? E->Level : Severity::Warning;
  if (Level < MinSeverity)
    return;
  Window &W = Windows[EventNumber];
  if (W.Second != Now / 1000)
    W = {Now / 1000, 0};
  // A line is started only when the previous one is complete, so that no
  // line is cut off.
  if (++W.Lines > MaxLinesPerSecond || !flush()) {
    ++Dropped;
    return;
  }
  json::object O{{"t", Now},
                 {"level", name(Level)},
                 {"n", EventNumber},
                 {"event", E ? E->Name : "unlisted"},
                 {"daemon", Daemon}};
  for (const auto &[Name, Value] : Fields)
    O[Name] = Value;
  if (Dropped != ReportedDropped) {
    O["dropped_lines"] = Dropped - ReportedDropped;
    ReportedDropped = Dropped;
  }
  Unwritten = json::serialize(O) + '\n';
  flush();
}

} // namespace heathersaddle::base
