#ifndef HEATHERSADDLE_CONTROL_ACTIONS_H
#define HEATHERSADDLE_CONTROL_ACTIONS_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/base/Time.h"
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace heathersaddle::control {

/// Requests of a Node to its driver. Each asynchronous action has a call
/// number. The driver passes its result to Node::onAppended(), onRead(),
/// onWorkerReply(), onPeerReply(), onHosts() or onHostChanges() with the same
/// number, exactly once; the result is the error Timeout when there was no
/// response within the action's time limit.

/// POST /v1/streams/STREAM/append
struct AppendAction {
  std::uint64_t Call = 0;
  std::string Stream;
  std::vector<std::string> Records;
  base::Millis TimeLimit{};
};

/// GET /v1/streams/STREAM/records
struct ReadAction {
  std::uint64_t Call = 0;
  std::string Stream;
  std::uint64_t From = 0;
  std::uint32_t Max = 0;
  base::Millis Wait{}; ///< How long the log may hold the request when it has
                       ///< no records to return (long poll).
  base::Millis TimeLimit{}; ///< Longer than Wait.
};

/// POST to a worker: Path is /v1/commands or /v1/sync.
struct WorkerAction {
  std::uint64_t Call = 0;
  std::string Worker;
  std::string Address;
  std::string Path;
  boost::json::value Body;
  base::Millis TimeLimit{};
};

/// POST to another daemon: /v1/peer/ping or /v1/peer/answers.
struct PeerAction {
  std::uint64_t Call = 0;
  std::string Daemon;
  std::string Address;
  std::string Path;
  boost::json::value Body;
  base::Millis TimeLimit{};
};

/// GET /v1/hosts of the platform.
struct HostsAction {
  std::uint64_t Call = 0;
  base::Millis TimeLimit{};
};

/// A numbered log event; see docs/events.md.
struct LogAction {
  unsigned Event = 0;
  std::string Text;
};

using Action = std::variant<AppendAction, ReadAction, WorkerAction, PeerAction,
                            HostsAction, LogAction>;

/// Answer to a ReadAction.
struct ReadResult {
  std::uint64_t Oldest = 0; ///< Offset of the oldest record in the log.
  std::uint64_t Next = 0;   ///< Offset of the next append.
  bool Trimmed = false;     ///< From lies before Oldest; Records is empty.
  std::vector<std::string> Records; ///< From ReadAction::From on.
};

/// One host of the platform's list.
struct HostEntry {
  std::string Name;
  std::string Address;
  std::string DataCentre;
  std::string Rack;
  unsigned Slots = 0;
  unsigned Accelerators = 0;
  unsigned Cores = 0;
  std::uint64_t MemoryMb = 0;
  bool Leaving = false;
};

/// Answer to a HostsAction: the full host list, or what changed in it.
struct HostChanges {
  bool IsFullList = true;
  std::vector<HostEntry> Hosts;     ///< All hosts, or those added or changed.
  std::vector<std::string> Removed; ///< Names; empty when IsFullList.
};

} // namespace heathersaddle::control

#endif
