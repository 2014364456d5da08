#ifndef HEATHERSADDLE_CONTROL_CORE_H
#define HEATHERSADDLE_CONTROL_CORE_H

#include "heathersaddle/control/Node.h"
#include <algorithm>
#include <map>
#include <random>

namespace heathersaddle::control {

namespace json = boost::json;

/// Completion handlers of the calls in flight. Each handler runs at most once.
template <class T> class CallTable {
public:
  using Handler = std::function<void(base::Expected<T>)>;
  void add(std::uint64_t Call, Handler Done) {
    Handlers.emplace(Call, std::move(Done));
  }
  void finish(std::uint64_t Call, base::Expected<T> Result) {
    auto It = Handlers.find(Call);
    if (It == Handlers.end())
      return;
    Handler Done = std::move(It->second);
    Handlers.erase(It);
    Done(std::move(Result));
  }

private:
  std::map<std::uint64_t, Handler> Handlers;
};

/// Numbers of the log events of this package; see docs/events.md.
enum EventNumber : unsigned {
  EventRecovered = 300,
  EventTrimmed = 301,
  EventLogDown = 302,
  EventLogUp = 303,
  EventClaimed = 304,
  EventDeposed = 305,
  EventReleased = 306,
  EventWorkerLost = 307,
  EventWorkerBack = 308,
  EventWorkerRestarted = 309,
  EventRecordVoided = 310,
  EventSnapshotWritten = 311,
  EventSnapshotInvalid = 312,
};

/// What all components of a node share: its settings, the state, the current
/// time and the actions that the driver has not taken yet.
struct Core {
  explicit Core(NodeSettings InitialSettings)
      : Settings(std::move(InitialSettings)),
        Rng(Settings.Seed ^ Settings.Incarnation) {}

  NodeSettings Settings;
  state::State State;
  Node::Now CurrentTime;
  std::vector<Action> Actions;
  std::uint64_t LastCall = 0;
  std::mt19937_64 Rng;
  CallTable<json::value> WorkerCalls;
  CallTable<json::value> PeerCalls;

  base::MonoTime now() const { return CurrentTime.Mono; }

  /// The clock of the state, advanced by the monotonic clock between records.
  /// This daemon's wall clock may jump, so no decision uses it.
  base::WallMs stateClock() const {
    return State.clock() + (CurrentTime.Mono - ClockChangedAt).count();
  }
  /// Call after a record was applied; \p Before is the state's clock before it.
  void noteClockChange(base::WallMs Before) {
    if (State.clock() != Before)
      ClockChangedAt = CurrentTime.Mono;
  }
  base::MonoTime ClockChangedAt{};

  void log(unsigned Event, std::string Text) {
    Actions.emplace_back(LogAction{Event, std::move(Text)});
  }

  void callWorker(std::string_view Worker, std::string_view Address,
                  std::string_view Path, json::value Body, base::Millis Limit,
                  CallTable<json::value>::Handler Done) {
    std::uint64_t Call = ++LastCall;
    WorkerCalls.add(Call, std::move(Done));
    Actions.emplace_back(WorkerAction{Call, std::string(Worker),
                                      std::string(Address), std::string(Path),
                                      std::move(Body), Limit});
  }

  void callPeer(std::string_view Daemon, std::string_view Address,
                std::string_view Path, json::value Body,
                CallTable<json::value>::Handler Done) {
    std::uint64_t Call = ++LastCall;
    PeerCalls.add(Call, std::move(Done));
    Actions.emplace_back(PeerAction{Call, std::string(Daemon),
                                    std::string(Address), std::string(Path),
                                    std::move(Body), Settings.CallTimeout});
  }

  /// Exponential backoff with jitter, so that retries do not all coincide after
  /// an outage.
  base::Millis backoff(unsigned Failures, base::Millis BaseDelay,
                       base::Millis MaxDelay) {
    base::Millis Full =
        BaseDelay * (std::int64_t(1) << std::min(Failures, 12U));
    Full = std::min(Full, MaxDelay);
    std::uint64_t Half = std::uint64_t(Full.count()) / 2;
    return base::Millis(Half + Rng() % (Half + 1));
  }
};

} // namespace heathersaddle::control

#endif
