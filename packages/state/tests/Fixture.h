#ifndef HEATHERSADDLE_STATE_TESTS_FIXTURE_H
#define HEATHERSADDLE_STATE_TESTS_FIXTURE_H

#include "heathersaddle/base/Hash.h"
#include "heathersaddle/state/State.h"
#include <string>
#include <utility>

namespace heathersaddle::state::testing {

/// Applies records of several writers to one state.
struct StateFixture {
  State LogState;
  std::map<std::uint64_t, std::uint64_t> Sequences;
  base::WallMs WallClock = 1'000'000;

  Verdict append(std::uint64_t Writer, Body What) {
    Record R{Writer, ++Sequences[Writer], WallClock, std::move(What)};
    return LogState.apply(LogState.nextOffset(), encode(R));
  }

  /// A cell "dc1" owned by daemon "d1" (writer 1, epoch 1) with two workers of
  /// eight accelerators in one rack.
  void claimCellWithWorkers() {
    append(1, DaemonJoined{"d1", "127.0.0.1:1", "dc1"});
    append(1, Claim{"dc1", "d1", 0});
    addWorker("w1");
    addWorker("w2");
  }

  Authority owner() const { return {"dc1", LogState.cell("dc1")->Epoch}; }

  Verdict addWorker(const std::string &Name) {
    return append(1,
                  WorkerRegistered{owner(), {Name, "rack1", 8, 8}, "a", 64, 1});
  }

  static Plan plan(const std::string &Name, unsigned Guaranteed) {
    Plan P;
    P.Name = Name;
    if (Guaranteed)
      P.Guarantee.push_back({Guaranteed, 1, false, 1});
    return P;
  }

  static Customer customer(const std::string &Account, const std::string &Plan,
                           bool Departed = false) {
    return {Account, base::sha256Hex(Account), Plan, Departed};
  }

  Verdict publishPlans(std::vector<Plan> Put, std::uint64_t Base) {
    ListChange C;
    C.Kind = ListKind::Plans;
    C.Base = Base;
    C.PutPlans = std::move(Put);
    return append(9, ListPublished{C});
  }

  Verdict publishCustomers(std::vector<Customer> Put, std::uint64_t Base,
                           std::vector<std::string> Remove = {}) {
    ListChange C;
    C.Kind = ListKind::Customers;
    C.Base = Base;
    C.PutCustomers = std::move(Put);
    C.Remove = std::move(Remove);
    return append(9, ListPublished{C});
  }

  /// Accounts "a" and "b", each with eight guaranteed accelerators.
  void publishLists() {
    publishPlans({plan("gold", 8)}, 0);
    publishCustomers({customer("a", "gold"), customer("b", "gold")}, 0);
  }

  static JobSpec spec(const std::string &Id, const std::string &Account,
                      unsigned Tasks = 1, bool Idempotent = false) {
    JobSpec J;
    J.Id = Id;
    J.Account = Account;
    J.Kind = "echo";
    J.Input = "in";
    J.Shape.Tasks = Tasks;
    J.Idempotent = Idempotent;
    J.Digest = "d";
    return J;
  }

  Verdict accept(const JobSpec &J) { return append(2, JobAccepted{J, "dc1"}); }

  Verdict place(const std::string &Job, unsigned Attempt, bool Start,
                std::vector<pool::Placement> Tasks) {
    return append(1, Placed{owner(), Job, Attempt, Start, std::move(Tasks)});
  }

  /// The worker of the first home of \p Account.
  std::string homeWorker(const std::string &Account) const {
    for (const pool::Home &H : LogState.cell("dc1")->Pool.homes())
      if (H.Account == Account)
        return H.Slots.front().Worker;
    return {};
  }
};

} // namespace heathersaddle::state::testing

#endif
