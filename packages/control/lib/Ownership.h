#ifndef HEATHERSADDLE_CONTROL_OWNERSHIP_H
#define HEATHERSADDLE_CONTROL_OWNERSHIP_H

#include "CellOwner.h"
#include "Members.h"
#include "Tail.h"

namespace heathersaddle::control {

/// Watches the owners of all cells and claims those that nobody serves.
class Ownership {
public:
  Ownership(Core &C, AppendQueue &Queue, HostList &Hosts, Tail &T)
      : NodeCore(C), Queue(Queue), Hosts(Hosts), Log(T), Others(C, Queue) {}

  using AnswerHandler =
      std::function<void(const state::Job &, const std::vector<std::string> &)>;
  AnswerHandler OnAnswer;
  std::function<const std::vector<std::string> *(const state::Job &)>
      PushedAnswer;

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
  struct Watch {
    base::MonoTime LastSign{};     ///< Of the owner, in the log.
    base::MonoTime RefusedSince{}; ///< Zero: its daemon answers.
    base::MonoTime PingAt{};
    base::MonoTime RetryAt{};
    bool Pinging = false;
    bool Busy = false; ///< Workers are being tried or a claim is in flight.
    unsigned Tried = 0;
    unsigned Reached = 0;
    unsigned Open = 0;
  };

  void watchCells();
  void handOver();
  std::string betterOwner(const std::string &Cell) const;
  std::map<std::string_view, unsigned> load() const;
  void review(const std::string &Cell, Watch &W);
  bool due(const std::string &Cell, const state::Cell *View, const Watch &W);
  unsigned rank(std::string_view Cell, std::string_view Owner) const;
  void ping(const std::string &Cell, const state::Cell &View, Watch &W);
  void tryWorkers(const std::string &Cell, std::uint64_t Epoch);
  void onTried(const std::string &Cell, std::uint64_t Epoch, bool Reached);
  void claim(const std::string &Cell, std::uint64_t Epoch);
  std::vector<std::pair<std::string, std::string>>
  workersOf(const std::string &Cell) const;

  Core &NodeCore;
  AppendQueue &Queue;
  HostList &Hosts;
  Tail &Log;
  Members Others;
  std::uint64_t HostsSeen = 0;
  base::MonoTime HandOverAt{};
  std::map<std::string, Watch, std::less<>> Watches;
  std::map<std::string, std::shared_ptr<CellOwner>, std::less<>> Owners;
};

} // namespace heathersaddle::control

#endif
