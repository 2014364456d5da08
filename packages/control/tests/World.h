#ifndef HEATHERSADDLE_CONTROL_TESTS_WORLD_H
#define HEATHERSADDLE_CONTROL_TESTS_WORLD_H

#include "FakeWorker.h"
#include "heathersaddle/control/Node.h"
#include <map>
#include <memory>
#include <set>

namespace heathersaddle::control {

/// Simulates a log, a host list, workers and daemons in virtual time.
class World {
public:
  struct Daemon {
    std::unique_ptr<Node> Instance;
    bool Alive = true;
    bool Paused = false;
  };
  struct Stream {
    std::uint64_t Oldest = 0;
    std::vector<std::string> Records; ///< From offset Oldest on.
    std::uint64_t next() const { return Oldest + Records.size(); }
  };

  World();
  void addWorker(const std::string &Name, const std::string &Cell,
                 const std::string &Rack);
  Node &addDaemon(const std::string &Name, const std::string &Cell);
  /// Publishes a plan and the account "maison".
  void publishLists(Node &N);

  void run(std::int64_t Ms);
  /// Runs until \p Done or for at most \p MaxMs; returns whether \p Done
  /// came true.
  bool runUntil(const std::function<bool()> &Done, std::int64_t MaxMs);
  Node::Now now() const {
    return {base::Millis(Clock), 1'700'000'000'000 + Clock};
  }

  /// Submits a job and returns its ID. \p Kind is "ok:MS" or "fail:MS": each
  /// task finishes or fails after that time.
  std::string submit(Node &N, unsigned Tasks, bool Idempotent,
                     const std::string &Kind = "ok:1000",
                     const std::string &Key = "");
  const state::Job &job(const std::string &Id) const;
  bool ended(const std::string &Id) const;
  unsigned countRecords(std::string_view Kind) const;

  std::map<std::string, Daemon> Daemons;
  std::map<std::string, FakeWorker> Workers;
  std::vector<HostEntry> Hosts;
  std::map<std::string, Stream> Log;
  bool LogDown = false;
  unsigned LoseAppendReplies = 0; ///< Appends that take effect but time out.
  unsigned LoseAppends = 0;       ///< Appends that never take effect.
  unsigned LoseStartReplies = 0;
  std::set<std::pair<std::string, std::string>> CutLinks; ///< Daemon, worker.
  std::int64_t Clock = 1'000;

private:
  struct Call {
    std::string Daemon;
    Node *Caller = nullptr;
    Action What;
    std::int64_t Since = 0;
    bool Arrived = false;
  };
  bool serve(Call &C);
  bool serve(Call &C, AppendAction &A);
  bool serve(Call &C, ReadAction &A);
  bool serve(Call &C, WorkerAction &A);
  bool serve(Call &C, PeerAction &A);
  bool serve(Call &C, HostsAction &A);
  bool serve(Call &, LogAction &) { return true; }
  bool timedOut(const Call &C, base::Millis Limit) const {
    return Clock - C.Since >= Limit.count();
  }

  std::vector<Call> Calls;
  std::uint64_t Incarnations = 100;
};

} // namespace heathersaddle::control

#endif
