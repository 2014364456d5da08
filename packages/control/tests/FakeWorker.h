#ifndef HEATHERSADDLE_CONTROL_TESTS_FAKEWORKER_H
#define HEATHERSADDLE_CONTROL_TESTS_FAKEWORKER_H

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace heathersaddle::control {

/// A worker as section 6 of docs/design.md describes it. The kind of a task
/// is "ok:MS" or "fail:MS": it finishes or fails after that time.
class FakeWorker {
public:
  struct Task {
    std::string State = "reserved";
    std::string Kind;
    std::int64_t StartedAt = 0;
    std::int64_t Progress = 0;
    std::int64_t StopAt = 0;
  };
  using Id = std::tuple<std::string, unsigned, unsigned>;

  /// Handles a request; empty when its epoch is lower than one seen before.
  /// \p First: the request has just arrived; otherwise it is a long poll that
  /// has been waiting.
  std::optional<boost::json::object>
  handle(const std::string &Path, const boost::json::object &Body, bool First);
  bool shouldWait(const boost::json::object &Body) const;
  void advance(std::int64_t Now);
  void restart();
  void reportUsage();
  unsigned runningTasks() const;

  std::map<Id, Task> Tasks;
  std::map<std::string, unsigned> Starts; ///< Executions by job, all boots.
  std::map<std::string, unsigned> Adjustments; ///< Commands by name.
  bool Down = false;
  bool RepeatCommands = false;
  std::int64_t LeaseUntil = 0;

private:
  struct Event {
    std::uint64_t Seq;
    boost::json::object Body;
  };
  std::string execute(const boost::json::object &Cmd);
  void addEvent(const char *Kind, const Id &Of, const Task &T,
                const std::string &Text = "");
  std::int64_t progress(const Task &T) const;

  std::set<std::pair<std::string, unsigned>> Tombstones;
  std::deque<Event> Events;
  std::map<std::string, std::uint64_t> Epochs;
  std::uint64_t LastSeq = 0;
  std::uint64_t Boot = 1;
  std::int64_t Clock = 0;
};

} // namespace heathersaddle::control

#endif
