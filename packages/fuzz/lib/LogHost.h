#ifndef HEATHERSADDLE_FUZZ_LOGHOST_H
#define HEATHERSADDLE_FUZZ_LOGHOST_H

#include "Simulation.h"
#include "heathersaddle/control/Actions.h"
#include "heathersaddle/standin/LogModel.h"
#include <functional>
#include <list>
#include <set>

namespace heathersaddle::fuzz {

template <class T> using Reply = std::function<void(base::Expected<T>)>;

/// The platform's log in virtual time, with long polls and timed faults.
class LogHost {
public:
  /// Called for each record of `control` as soon as it is appended.
  using Observer =
      std::function<void(std::uint64_t Offset, const std::string &Text)>;

  LogHost(Simulation &Sim, Random &Rng, Observer OnRecord)
      : Sim(Sim), Rng(Rng), OnRecord(std::move(OnRecord)) {}

  void append(const control::AppendAction &A, const Reply<std::uint64_t> &Done);
  void read(const control::ReadAction &A, Reply<control::ReadResult> Done);

  void down(Millis Duration) { extend(DownUntil, Duration); }
  void loseAnswers(Millis Duration) { extend(LosesAnswersUntil, Duration); }
  void slow(Millis Duration) { extend(SlowUntil, Duration); }
  /// Damages the snapshot chunks that are appended during this time.
  void damageSnapshots(Millis Duration) {
    extend(DamagesSnapshotsUntil, Duration);
  }
  /// Drops the records that the newest undamaged snapshot covers.
  void trim();
  /// Ends all faults now.
  void heal();
  Millis lastFaultEnd() const {
    return std::max({DownUntil, LosesAnswersUntil, SlowUntil});
  }

private:
  struct Waiter {
    std::uint64_t Id = 0;
    control::ReadAction Request;
    Reply<control::ReadResult> Done;
  };
  void extend(Millis &Until, Millis Duration) {
    Until = std::max(Until, Sim.now() + Duration);
  }
  bool isDown() const { return Sim.now() < DownUntil; }
  base::Expected<control::ReadResult> page(const control::ReadAction &A) const;
  void damage(std::vector<std::string> &Chunks);
  void serveWaiters(const std::string &Stream);
  void expire(std::uint64_t Id);
  void observeControlRecords(std::uint64_t First,
                             const std::vector<std::string> &Texts);
  template <class T> void answer(const Reply<T> &Done, base::Expected<T> R);

  Simulation &Sim;
  Random &Rng;
  Observer OnRecord;
  standin::LogModel Model;
  std::list<Waiter> Waiters;
  std::uint64_t NextWaiter = 0;
  std::uint64_t CoveredOffset = 0; ///< Of the newest undamaged snapshot.
  std::set<std::uint64_t> DamagedSnapshots; ///< Their covered offsets.
  Millis DownUntil{}, LosesAnswersUntil{}, SlowUntil{}, DamagesSnapshotsUntil{};
};

} // namespace heathersaddle::fuzz

#endif
