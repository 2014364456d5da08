#ifndef HEATHERSADDLE_CONTROL_OWNERSHIP_H
#define HEATHERSADDLE_CONTROL_OWNERSHIP_H

#include "CellOwner.h"
#include "Members.h"
#include "Tail.h"

namespace heathersaddle::control {

/// Runs this daemon's cell owners, watches the owners of all other cells and
/// claims cells that have no working owner.
class Ownership {
public:
  Ownership(Core &C, AppendQueue &Queue, HostList &Hosts, Tail &T)
      : NodeCore(C), Queue(Queue), Hosts(Hosts), LogTail(T),
        OtherDaemons(C, Queue) {}

  using AnswerHandler =
      std::function<void(const state::Job &, const std::vector<std::string> &)>;
  AnswerHandler OnUnrecordedAnswer;
  std::function<const std::vector<std::string> *(const state::Job &)>
      FindPushedAnswer;

  void tick(bool LogDown, bool Stopping);
  void onApplied(const state::Record &R, const state::Verdict &V);
  void onRestored();
  void onLogUp();
  void release();

  CellOwner *owned(std::string_view Cell);
  const CellOwner *owned(std::string_view Cell) const;
  std::vector<std::string> cells() const;
  bool any() const { return !Owners.empty(); }

private:
  struct CellWatch {
    base::MonoTime OwnerSilentSince{}; ///< Its last record in the log.
    base::MonoTime RefusedSince{};     ///< Zero: its daemon answers.
    base::MonoTime PingAt{};
    base::MonoTime RetryAt{};
    bool Pinging = false;
    /// Workers are being tried or a claim is in flight.
    bool ClaimInProgress = false;
    unsigned WorkersTried = 0;
    unsigned WorkersReached = 0;
    unsigned RepliesPending = 0;
  };

  void watchCells();
  void handOver();
  std::string betterOwner(const std::string &Cell) const;
  std::map<std::string_view, unsigned> cellsPerDaemon() const;
  void reviewCell(const std::string &Cell, CellWatch &W);
  bool claimDue(const std::string &Cell, const state::Cell *View,
                const CellWatch &W);
  unsigned rank(std::string_view Cell, std::string_view Owner) const;
  void ping(const std::string &Cell, const state::Cell &View, CellWatch &W);
  void tryWorkers(const std::string &Cell, std::uint64_t Epoch);
  void onWorkerTried(const std::string &Cell, std::uint64_t Epoch,
                     bool Reached);
  void claim(const std::string &Cell, std::uint64_t Epoch);
  std::vector<std::pair<std::string, std::string>>
  workersOf(const std::string &Cell) const;

  Core &NodeCore;
  AppendQueue &Queue;
  HostList &Hosts;
  Tail &LogTail;
  Members OtherDaemons;
  std::uint64_t HostListGeneration = 0;
  base::MonoTime HandOverAt{};
  std::map<std::string, CellWatch, std::less<>> Watches;
  std::map<std::string, std::shared_ptr<CellOwner>, std::less<>> Owners;
};

} // namespace heathersaddle::control

#endif
