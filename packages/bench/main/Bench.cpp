// Prints the figures of the scheduler next to those of the baselines, one per
// line:
// figure NAME VALUE UNIT target VALUE baseline NAME=VALUE ...
#include "Baselines.h"
#include "Sim.h"
#include <cxxopts.hpp>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>

using namespace heathersaddle;
using namespace heathersaddle::bench;

namespace {

struct Runs {
  Meter Policy;
  std::vector<std::pair<std::string, Meter>> Others;
};

std::size_t heapBytes() { return mallinfo2().uordblks; }

void printFigure(const Runs &R, const std::string &Name,
                 const std::string &Unit, const std::string &Target,
                 const std::function<double(const Meter &)> &Value) {
  std::cout << "figure " << Name << " " << Value(R.Policy) << " " << Unit
            << " target " << Target << " baseline";
  for (const auto &[Other, M] : R.Others)
    std::cout << " " << Other << "=" << Value(M);
  std::cout << "\n";
}

std::vector<std::pair<std::string, policy::Settings>> variants() {
  policy::Settings NeverMove, MoveAtOnce;
  NeverMove.MaxGangDrain = base::Millis{24 * 3'600'000};
  MoveAtOnce.MaxGangDrain = base::Millis{0};
  return {{"drain_only", NeverMove}, {"move_at_once", MoveAtOnce}};
}

Runs runAll(const Load &L, bool Variants, base::Millis Drain) {
  Runs R;
  policy::Settings PolicySettings;
  if (Drain.count() >= 0)
    PolicySettings.MaxGangDrain = Drain;
  policy::Scheduler Sched{PolicySettings};
  R.Policy = Sim(L, Sched).run();
  for (auto [Name, Kind] : {std::pair("fcfs", BaselineKind::FirstFit),
                            std::pair("backfill", BaselineKind::Backfill),
                            std::pair("counted", BaselineKind::SlotQuota)}) {
    Baseline B(Kind);
    R.Others.emplace_back(Name, Sim(L, B).run());
  }
  if (Variants)
    for (const auto &[Name, Settings] : variants()) {
      policy::Scheduler Other(Settings);
      R.Others.emplace_back(Name, Sim(L, Other).run());
    }
  return R;
}

void printTimes(const std::string &LoadName, const Runs &R) {
  printFigure(R, LoadName + ".urgent_start_p99", "ms", "1400",
              [](const Meter &M) { return M.UrgentWait.quantile(0.99); });
  printFigure(R, LoadName + ".completion_mean", "ms", "none",
              [](const Meter &M) { return M.CompletionAll.mean(); });
  printFigure(R, LoadName + ".completion_mean_gangs", "ms", "none",
              [](const Meter &M) { return M.CompletionGang.mean(); });
  printFigure(R, LoadName + ".completion_mean_small", "ms", "none",
              [](const Meter &M) { return M.CompletionSingleTask.mean(); });
  printFigure(R, LoadName + ".idle_while_waiting", "share", "none",
              [](const Meter &M) { return M.IdleShare.mean(); });
  printFigure(R, LoadName + ".held_idle", "share", "none",
              [](const Meter &M) { return M.HeldIdleShare.mean(); });
  printFigure(R, LoadName + ".completion_p99", "ms", "none",
              [](const Meter &M) { return M.CompletionAll.quantile(0.99); });
  if (R.Policy.CompletionByAccount.size() <= 8)
    for (const auto &Each : R.Policy.CompletionByAccount) {
      const std::string &Account = Each.first;
      std::string Name = LoadName;
      Name.append(".completion_mean.").append(Account);
      printFigure(R, Name, "ms", "none", [&Account](const Meter &M) {
        return M.CompletionByAccount.at(Account).mean();
      });
      Name = LoadName;
      Name.append(".completion_p99.").append(Account);
      printFigure(R, Name, "ms", "none", [&Account](const Meter &M) {
        return M.CompletionByAccount.at(Account).quantile(0.99);
      });
    }
  printFigure(R, LoadName + ".fragmentation", "share", "none",
              [](const Meter &M) { return M.Fragmentation.mean(); });
  printFigure(R, LoadName + ".gang_wait_mean", "ms", "none",
              [](const Meter &M) { return M.GangWait.mean(); });
  printFigure(R, LoadName + ".gang_wait_p99", "ms", "none",
              [](const Meter &M) { return M.GangWait.quantile(0.99); });
  printFigure(R, LoadName + ".gang_wait_max", "ms", "none",
              [](const Meter &M) { return M.GangWait.quantile(1); });
}

void printGuaranteesAndDecisions(const std::string &LoadName, const Runs &R) {
  printFigure(R, LoadName + ".reclaim_time_p99", "ms", "10000",
              [](const Meter &M) { return M.EntitledWait.quantile(0.99); });
  printFigure(R, LoadName + ".guarantee_violations", "jobs", "0",
              [](const Meter &M) { return M.GuaranteeViolations; });
  printFigure(R, LoadName + ".guarantee_requests", "jobs", "none",
              [](const Meter &M) { return M.GuaranteeRequests; });
  printFigure(R, LoadName + ".decision_time_p99", "ms", "1",
              [](const Meter &M) { return M.DecisionMs.quantile(0.99); });
  printFigure(R, LoadName + ".decision_time_max", "ms", "none",
              [](const Meter &M) { return M.DecisionMs.quantile(1); });
  printFigure(
      R, LoadName + ".decisions_per_second", "1/s", "none", [](const Meter &M) {
        return 1000 * static_cast<double>(M.Decisions) / M.DecisionMs.sum();
      });
  printFigure(R, LoadName + ".stops", "jobs", "none",
              [](const Meter &M) { return M.Stops; });
  printFigure(R, LoadName + ".unfinished", "jobs", "none",
              [](const Meter &M) { return M.Unfinished; });
  printFigure(R, LoadName + ".work_repeated", "slot_seconds", "none",
              [](const Meter &M) {
                return static_cast<double>(M.RepeatedWorkMs) / 1000;
              });
}

void runLoad(const Load &L, bool Variants, base::Millis Drain) {
  std::size_t Slots = 0, Accelerators = 0;
  for (const pool::WorkerSpec &W : L.Workers) {
    Slots += W.Slots;
    Accelerators += W.Accelerators;
  }
  std::cout << "load " << L.Name << " seed " << L.Seed << " workers "
            << L.Workers.size() << " slots " << Slots << " accelerators "
            << Accelerators << " accounts " << L.Terms.size() << " jobs "
            << L.Jobs.size() << " hours "
            << static_cast<double>(L.EndMs) / 3.6e6 << std::endl;
  Runs R = runAll(L, Variants, Drain);
  printTimes(L.Name, R);
  printGuaranteesAndDecisions(L.Name, R);
  std::cout << std::flush;
}

/// Prints the heap use per task of a pool and a scheduler with 87,000
/// single-task jobs.
void printStateBytes() {
  constexpr unsigned Workers = 2'925, Tasks = 87'000;
  std::size_t Before = heapBytes();
  pool::Pool P;
  policy::Scheduler S{policy::Settings{}};
  for (unsigned W = 0; W != Workers; ++W)
    (void)P.addWorker({"p" + std::to_string(10'000 + W),
                       "r" + std::to_string(W / 15), 32, 0});
  for (unsigned N = 0; N != Tasks; ++N) {
    policy::JobView V;
    V.Id = "job-" + std::to_string(N);
    V.Account = "m" + std::to_string(N % 760);
    V.Kind = "k";
    V.Shape = {1, 1, false};
    V.Idempotent = true;
    S.jobPending(V, 0);
    pool::Placement T{"p" + std::to_string(10'000 + N / 32),
                      pool::SlotMask{1} << N % 32};
    (void)P.allocate(V.Id, V.Account, {&T, 1});
    S.jobPlaced(V.Id, {&T, 1}, 0);
  }
  std::cout << "figure state_bytes_per_task "
            << static_cast<double>(heapBytes() - Before) / Tasks
            << " bytes target none baseline none=0\n";
}

/// Returns the mean time of a decision that follows the end of one job.
double decisionMicros(unsigned Workers, unsigned Queue) {
  pool::Pool P;
  policy::Scheduler S{policy::Settings{}};
  for (unsigned W = 0; W != Workers; ++W)
    (void)P.addWorker({"p" + std::to_string(10'000 + W),
                       "r" + std::to_string(W / 15), 32, 8});
  unsigned Next = 0;
  auto Submit = [&] {
    policy::JobView V;
    V.Id = "job-" + std::to_string(Next);
    V.Account = "m" + std::to_string(Next % 100);
    V.Kind = "k";
    V.Shape = {1, 1U << Next % 3, Next % 5 == 0};
    V.Idempotent = Next % 2;
    V.AcceptedMs = Next++;
    S.jobPending(V, 0);
  };
  std::vector<std::string> Running;
  auto Decide = [&] {
    for (const policy::Decision &D : S.decide(P, 1'000))
      if (const auto *Place = std::get_if<policy::PlaceDecision>(&D)) {
        (void)P.allocate(Place->Job, "m", Place->Tasks);
        S.jobPlaced(Place->Job, Place->Tasks, 1'000);
        Running.push_back(Place->Job);
      }
  };
  do {
    while (S.pendingCount() < Queue)
      Submit();
    Decide();
  } while (P.freeSlotCount() > 32 &&
           Running.size() < Workers * std::size_t{32});
  while (S.hasMore())
    Decide();
  constexpr unsigned Rounds = 2'000;
  double Micros = 0;
  for (unsigned N = 0; N != Rounds; ++N) {
    std::size_t At = N * 7919ULL % Running.size();
    P.release(Running[At]);
    S.jobFinished(Running[At], 1'000);
    Running[At] = Running.back();
    Running.pop_back();
    Submit();
    auto Before = std::chrono::steady_clock::now();
    Decide();
    auto After = std::chrono::steady_clock::now();
    Micros += std::chrono::duration<double, std::micro>(After - Before).count();
  }
  return Micros / Rounds;
}

void printSlopes() {
  std::cout << "slope pool_size workers=microseconds queue 1000:";
  double First = 0, Last = 0;
  for (unsigned Workers : {450U, 900U, 1800U, 3600U}) {
    Last = decisionMicros(Workers, 1000);
    First = Workers == 450 ? Last : First;
    std::cout << " " << Workers << "=" << Last;
  }
  std::cout << "\nfigure slope_pool_size " << (Last - First) / 3.15
            << " us_per_1000_workers target none baseline none=0\n";
  std::cout << "slope queue jobs=microseconds workers 900:";
  for (unsigned Queue : {1000U, 2500U, 5000U, 10000U}) {
    Last = decisionMicros(900, Queue);
    First = Queue == 1000 ? Last : First;
    std::cout << " " << Queue << "=" << Last;
  }
  std::cout << "\nfigure slope_queue_length " << (Last - First) / 9
            << " us_per_1000_jobs target none baseline none=0\n";
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options O("heathersaddle_bench",
                     "Figures of the scheduler on generated loads.");
  O.add_options()("seed", "seed of the loads",
                  cxxopts::value<std::uint64_t>()->default_value("7"))(
      "drain-ms", "MaxGangDrain of the policy; -1: its default",
      cxxopts::value<std::int64_t>()->default_value("-1"))(
      "load", "dakar, thailand, target-cell, target, sizes or all",
      cxxopts::value<std::string>()->default_value("all"));
  auto Args = O.parse(Argc, Argv);
  auto Seed = Args["seed"].as<std::uint64_t>();
  base::Millis Drain{Args["drain-ms"].as<std::int64_t>()};
  auto Which = Args["load"].as<std::string>();
  std::cout << std::setprecision(6) << "seed " << Seed << std::endl;
  if (Which == "all" || Which == "dakar")
    runLoad(dakar(Seed), true, Drain);
  if (Which == "all" || Which == "thailand")
    runLoad(thailand(Seed), true, Drain);
  if (Which == "all" || Which == "target-cell")
    runLoad(targetCell(Seed), false, Drain);
  if (Which == "all" || Which == "target")
    runLoad(target(Seed), false, Drain);
  if (Which == "all" || Which == "sizes") {
    printStateBytes();
    printSlopes();
  }
  return 0;
}
