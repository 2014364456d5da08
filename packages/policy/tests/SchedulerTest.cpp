#define BOOST_TEST_MODULE policy
#include "World.h"

using namespace heathersaddle::tests;

static const char *const Names[] = {"a", "b", "c", "d"};

static Shape randomShape() {
  return {.Tasks = pick(0, 3) ? 1U : pick(2, 4),
          .SlotsPerTask = 1U << pick(0, 3),
          .Accelerators = pick(0, 5) != 0,
          .Within = static_cast<Adjacency>(pick(0, 2))};
}

static std::vector<Guarantee> someGuarantees() {
  std::vector<Guarantee> Gs = {{"a", {{4, 1, false, 2}}},
                               {"b", {{4, 1, false, 1}, {2, 1, false, 1}}},
                               {"c", {{4, 2, true, 1}}}};
  Gs.resize(pick(1, 3));
  return Gs;
}

static void randomEvent(World &W) {
  std::vector<std::string> Running = W.placed();
  auto Any = [](const std::vector<std::string> &From) {
    return From[pick(0, From.size() - 1)];
  };
  W.Now += pick(0, 9) ? pick(0, 5'000) : pick(0, 200'000);
  std::string Worker = "w" + std::to_string(pick(0, 5));
  switch (pick(0, 9)) {
  case 0:
  case 1:
  case 2:
  case 3:
    W.submit(Names[pick(0, 3)], randomShape(), pick(0, 2) != 0,
             pick(0, 4) == 0);
    break;
  case 4:
  case 5:
    if (!Running.empty())
      W.finish(Any(Running));
    break;
  case 6:
    if (!Running.empty()) {
      std::string Id = Any(Running);
      std::string At = W.Cell.placements(Id)[0].Worker;
      if (W.Jobs.at(Id).View.Idempotent)
        W.endAttempt(Id, AttemptEnd::TaskFailed, {At});
    }
    break;
  case 7:
    if (!Running.empty())
      W.Sched.usage(Any(Running), pick(1, 100'000), W.Now);
    break;
  case 8:
    if (!W.Jobs.empty())
      W.cancel(W.Jobs.begin()->first);
    break;
  case 9:
    if (!W.Cell.worker(Worker))
      break;
    if (*W.Cell.status(Worker) != WorkerStatus::Up)
      W.Cell.setStatus(Worker, WorkerStatus::Up);
    else if (pick(0, 1))
      W.loseWorker(Worker);
    break;
  }
}

BOOST_AUTO_TEST_SUITE(AnySequenceOfEvents)

// Guards against slots allocated twice, gangs placed in part, exceeded quotas,
// guaranteed or non-idempotent jobs stopped for another account, a swap that
// takes a guarantee away, and passes that never end. World checks each
// decision and, after each event, all accounts at once.
BOOST_AUTO_TEST_CASE(KeepsAllInvariants) {
  unsigned Stops = 0, Swaps = 0;
  property("scheduler_stateful", 61, 20000, [&] {
    World W;
    W.addWorkers(pick(3, 6), 8, 3);
    W.guarantee(someGuarantees());
    for (const char *Name : Names) {
      W.Quota[Name] = pick(0, 2) ? 0 : pick(8, 24);
      W.Sched.setTerms(Name, {.Share = pick(1, 3), .MaxSlots = W.Quota[Name]});
    }
    for (unsigned Event = 0; Event != 30; ++Event) {
      randomEvent(W);
      if (pick(0, 3))
        W.settle();
      else
        W.pass();
    }
    Stops += W.Stops;
    Swaps += W.Swaps;
  });
  std::cout << "stops " << Stops << " swaps " << Swaps << std::endl;
  // The sequences must exercise the rules that they check.
  BOOST_TEST(Stops > 1000U);
  BOOST_TEST(Swaps > 100U);
}

// Guards against decisions that depend on anything but the inputs.
BOOST_AUTO_TEST_CASE(DecidesTheSameForTheSameEvents) {
  property("scheduler_deterministic", 62, 300, [] {
    World A, B;
    for (World *W : {&A, &B}) {
      W->addWorkers(6, 8, 3);
      W->guarantee({{"a", {{4, 1, false, 2}}}, {"b", {{8, 1, false, 1}}}});
    }
    for (unsigned Event = 0; Event != 40; ++Event) {
      Shape S = randomShape();
      const char *Account = Names[pick(0, 3)];
      bool Idempotent = pick(0, 1), Urgent = pick(0, 4) == 0;
      unsigned Step = pick(0, 50'000);
      for (World *W : {&A, &B}) {
        W->Now += Step;
        W->submit(Account, S, Idempotent, Urgent);
        W->settle();
        if (Event % 3 == 0 && !W->placed().empty())
          W->finish(W->placed().front());
      }
      RC_ASSERT(A.placed() == B.placed());
      for (const std::string &Id : A.placed())
        RC_ASSERT(
            std::ranges::equal(A.Cell.placements(Id), B.Cell.placements(Id)));
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Guarantees)

// Guards against a guaranteed shape that its account cannot reclaim from
// borrowers within one grace period, whatever the borrowers do.
BOOST_AUTO_TEST_CASE(AreAvailableAfterOneReclaim) {
  property("guarantee_available", 63, 3000, [] {
    World W;
    W.addWorkers(4, 8, 2);
    W.guarantee({{"a", {{8, 1, false, 1}, {4, 1, false, 1}}},
                 {"b", {{8, 2, true, 1}}}});
    for (unsigned N = 0; N != 40; ++N)
      W.submit(pick(0, 1) ? "c" : "d",
               {1, 1U << pick(0, 3), true, Adjacency::None}, pick(0, 2) != 0);
    W.settle();
    W.Now += pick(0, 100'000);
    std::vector<std::string> Asked;
    Asked.push_back(W.submit("a", {1, 8}, pick(0, 1)).Id);
    Asked.push_back(W.submit("a", {1, 4}, pick(0, 1)).Id);
    Asked.push_back(
        W.submit("b", {2, 8, true, Adjacency::Rack}, pick(0, 1)).Id);
    W.pass();
    W.pass();
    W.Now += W.Config.ReclaimGrace.count();
    W.finishStops();
    W.pass();
    for (const std::string &Id : Asked)
      RC_ASSERT(W.runs(Id));
  });
}

// Guards against stopping more work than the cheapest choice of slots needs.
BOOST_AUTO_TEST_CASE(ReclaimLosesTheLeastProgress) {
  property("reclaim_least_loss", 64, 4000, [] {
    World W;
    W.addWorkers(1, 8, 1);
    W.guarantee({{"a", {{8, 1, false, 1}}}});
    while (W.Cell.freeSlotCount()) {
      W.submit("b", {1, 1U << pick(0, 2)}, true);
      W.settle();
      W.Now += pick(1, 60'000);
      for (const auto &[Id, E] : std::map(W.Jobs))
        if (!E.Placed)
          W.cancel(Id);
    }
    unsigned Size = 1U << pick(0, 3);
    std::map<std::string, std::int64_t> Loss;
    for (const auto &[Id, E] : W.Jobs)
      Loss[Id] = (W.Now - E.StartMs) * E.View.Shape.SlotsPerTask;
    std::int64_t Least = -1;
    for (unsigned Low = 0; Low != 8; Low += Size) {
      std::int64_t Sum = 0;
      for (const auto &[Id, E] : W.Jobs)
        for (const Placement &T : W.Cell.placements(Id))
          if (T.Slots & (((SlotMask{1} << Size) - 1) << Low))
            Sum += Loss[Id];
      Least = Least < 0 ? Sum : std::min(Least, Sum);
    }
    W.submit("a", {1, Size}, false);
    W.pass();
    std::int64_t Got = 0;
    for (const auto &[Id, E] : W.Jobs)
      Got += E.Stopping ? Loss[Id] : 0;
    RC_ASSERT(Got == Least);
  });
}

// Guards against stopping a borrower while the idle home of another account
// could be swapped for the lent one.
BOOST_AUTO_TEST_CASE(SwapForAnIdleHomeInsteadOfStopping) {
  for (bool Idempotent : {true, false}) {
    World W;
    W.addWorkers(2, 8, 2);
    W.guarantee({{"a", {{8, 1, false, 1}}}, {"b", {{8, 1, false, 1}}}});
    std::string Lent = W.submit("c", {1, 8}, true).Id;
    W.settle();
    BOOST_TEST(W.Cell.borrowersFrom("a") == std::vector<std::string>{Lent});
    std::string Mine = W.submit("a", {1, 8}, Idempotent).Id;
    W.settle();
    BOOST_TEST(W.Cell.isGuaranteed(Mine));
    BOOST_TEST(W.runs(Lent));
    BOOST_TEST(W.Stops == 0U);
    std::string Theirs = W.submit("b", {1, 8}, Idempotent).Id;
    W.settle();
    BOOST_TEST(W.Cell.isGuaranteed(Mine));
    BOOST_TEST(W.Cell.isGuaranteed(Theirs));
    BOOST_TEST(!W.runs(Lent));
  }
}

// Guards against a guarantee that is lost with a worker although spare slots
// could hold it, and against taking them from work that a stop would lose.
BOOST_AUTO_TEST_CASE(MoveToSpareSlotsWhenTheirWorkerIsLost) {
  World W;
  W.addWorkers(3, 8, 3);
  W.guarantee({{"a", {{8, 1, false, 1}}}});
  std::string Stays = W.submit("b", {1, 8}, false).Id;
  std::string Leaves = W.submit("b", {1, 8}, true).Id;
  W.settle();
  W.loseWorker("w0");
  std::string Mine = W.submit("a", {1, 8}, false).Id;
  W.settle();
  BOOST_TEST(W.Cell.isGuaranteed(Mine));
  BOOST_TEST(W.runs(Stays));
  BOOST_TEST(!W.runs(Leaves));
}

// Guards against lending a home to work that a stop would lose.
BOOST_AUTO_TEST_CASE(AreNeverLentToNonIdempotentJobs) {
  World W;
  W.addWorkers(1, 8, 1);
  W.guarantee({{"a", {{4, 1, false, 1}}}});
  std::string First = W.submit("b", {1, 4}, false).Id;
  std::string Second = W.submit("b", {1, 4}, false).Id;
  W.settle();
  BOOST_TEST(W.runs(First));
  BOOST_TEST(!W.runs(Second));
  BOOST_TEST(W.Sched.explain(Second, W.Cell, W.Now).Limit == "guarantee");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GangsAndOrder)

// Guards against a gang that starves behind small jobs in a saturated queue.
// Small jobs run at most 50 s, so the workers reserved for the gang become free
// in time.
BOOST_AUTO_TEST_CASE(GangWaitIsBoundedInASaturatedQueue) {
  property("gang_wait", 65, 300, [] {
    World W;
    W.addWorkers(4, 8, 2);
    W.guarantee({{"a", {{4, 1, false, 1}}}});
    std::map<std::string, heathersaddle::base::WallMs> Ends;
    bool Idempotent = pick(0, 1);
    std::string Gang;
    heathersaddle::base::WallMs GangSubmittedMs = 0;
    for (unsigned Second = 0; Second != 400; ++Second) {
      while (W.Sched.pendingCount() < 40)
        W.submit(pick(0, 1) ? "b" : "c", {1, 1U << pick(0, 1)}, pick(0, 1));
      if (Second == 30) {
        Gang = W.submit("d", {2, 8, true, Adjacency::None}, Idempotent).Id;
        GangSubmittedMs = W.Now;
      }
      W.settle();
      if (!Gang.empty() && W.runs(Gang))
        break;
      W.Now += 1'000;
      for (const std::string &Id : W.placed()) {
        // A job that is new or was started again gets a new end time.
        auto [End, IsNew] = Ends.try_emplace(Id, 0);
        if (IsNew || W.Jobs.at(Id).StartMs + 1'000 >= W.Now)
          End->second =
              W.Now + heathersaddle::base::WallMs{1'000} * pick(1, 50);
        if (W.Now >= End->second)
          W.finish(Id);
      }
    }
    RC_ASSERT(W.runs(Gang));
    // The configured times of a reservation, and a margin.
    heathersaddle::base::WallMs Bound = W.Config.GangReservationAfter.count() +
                                        W.Config.MaxGangDrain.count() +
                                        W.Config.ReclaimGrace.count() + 60'000;
    RC_ASSERT(W.Now - GangSubmittedMs <= Bound);
  });
}

// Guards against urgent jobs that wait behind jobs that can be resumed.
BOOST_AUTO_TEST_CASE(UrgentJobStopsAnIdempotentJob) {
  World W;
  W.addWorkers(1, 8, 1);
  std::string Lost = W.submit("a", {1, 4}, false).Id;
  std::string Kept = W.submit("b", {1, 4}, true).Id;
  W.settle();
  std::string Urgent = W.submit("a", {1, 2}, false, true).Id;
  W.settle();
  BOOST_TEST(W.runs(Urgent));
  BOOST_TEST(W.runs(Lost));
  BOOST_TEST(!W.runs(Kept));
}

// Guards against giving the capacity above the guarantees to the account with
// the most jobs.
BOOST_AUTO_TEST_CASE(SpareSlotsFollowWeightedShares) {
  World W;
  W.addWorkers(3, 8, 3);
  W.Sched.setTerms("a", {.Share = 2});
  W.Sched.setTerms("b", {.Share = 1});
  for (unsigned N = 0; N != 100; ++N)
    W.submit("b", {1, 1}, true);
  for (unsigned N = 0; N != 100; ++N)
    W.submit("a", {1, 1}, true);
  W.settle();
  std::map<std::string, unsigned> Used;
  for (const std::string &Id : W.placed())
    ++Used[W.Jobs.at(Id).View.Account];
  BOOST_TEST(Used["a"] == 16U);
  BOOST_TEST(Used["b"] == 8U);
}

// Guards against a job that waits forever for a shape that no worker has.
BOOST_AUTO_TEST_CASE(ImpossibleAndExpiredJobsEndAsNotRun) {
  World W;
  W.addWorkers(2, 8, 1);
  W.submit("a", {1, 16}, true);
  W.submit("a", {2, 8, true, Adjacency::Rack}, true);
  JobView Late = W.submit("a", {1, 8}, true);
  Late.DeadlineMs = W.Now;
  W.Sched.jobPending(Late, W.Now);
  W.settle();
  BOOST_REQUIRE(W.Ended.size() == 3U);
  for (const EndDecision &D : W.Ended)
    BOOST_TEST(!D.Failed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FaultsAndEstimates)

// Guards against a worker that fails every task and so takes job after job from
// the queue, and against a quarantined worker that is never tried again.
BOOST_AUTO_TEST_CASE(WorkerThatFailsDistinctJobsIsQuarantinedThenProbed) {
  World W;
  W.addWorkers(2, 8, 2);
  for (unsigned N = 0; N != 3; ++N) {
    JobView &V = W.submit("a", {1, 1}, true);
    V.Kind = "kind" + std::to_string(N);
    W.Sched.jobPending(V, W.Now);
    W.settle();
    W.endAttempt(V.Id, AttemptEnd::TaskFailed, {"w0"});
  }
  W.settle();
  BOOST_TEST((*W.Cell.status("w0") == WorkerStatus::Quarantined));
  W.Now += 60'000;
  W.settle();
  BOOST_TEST((*W.Cell.status("w0") == WorkerStatus::Up));
  for (unsigned N = 0; N != 20; ++N)
    W.submit("b", {1, 1}, true);
  W.settle();
  BOOST_REQUIRE(W.Cell.jobsOn("w0").size() == 1U);
  std::string Probe = W.Cell.jobsOn("w0")[0];
  W.endAttempt(Probe, AttemptEnd::TaskFailed, {"w0"});
  W.settle();
  BOOST_TEST((*W.Cell.status("w0") == WorkerStatus::Quarantined));
  W.Now += 119'000;
  W.settle();
  BOOST_TEST((*W.Cell.status("w0") == WorkerStatus::Quarantined));
  W.Now += 1'000;
  W.settle();
  BOOST_REQUIRE(W.Cell.jobsOn("w0").size() == 1U);
  W.finish(W.Cell.jobsOn("w0")[0]);
  W.settle();
  BOOST_TEST(W.Cell.jobsOn("w0").size() > 1U);
}

// Guards against a quarantine that never ends because a job that was still
// running on the worker finished meanwhile.
BOOST_AUTO_TEST_CASE(QuarantineEndsAlsoWhenRunningWorkSucceeds) {
  World W;
  W.addWorkers(1, 8, 1);
  std::string Long;
  for (unsigned N = 0; N != 3; ++N) {
    JobView &V = W.submit("a", {1, 1}, true);
    V.Kind = "kind" + std::to_string(N);
    W.Sched.jobPending(V, W.Now);
    if (N == 2)
      Long = W.submit("b", {1, 1}, true).Id;
    W.settle();
    W.endAttempt(V.Id, AttemptEnd::TaskFailed, {"w0"});
  }
  W.settle();
  BOOST_REQUIRE((*W.Cell.status("w0") == WorkerStatus::Quarantined));
  BOOST_REQUIRE(W.runs(Long));
  W.finish(Long);
  W.settle();
  W.Now += 60'000;
  W.settle();
  BOOST_TEST((*W.Cell.status("w0") == WorkerStatus::Up));
}

// Guards against a job that fails on every worker and is retried without end,
// and against quarantining healthy workers for it.
BOOST_AUTO_TEST_CASE(JobThatFailsOnSeveralWorkersEndsAsFailedAndWorkersStayUp) {
  World W;
  W.addWorkers(4, 8, 2);
  std::string Bad = W.submit("a", {1, 1}, true).Id;
  for (unsigned N = 0; N != 3; ++N) {
    W.settle();
    BOOST_REQUIRE(W.runs(Bad));
    W.endAttempt(Bad, AttemptEnd::TaskFailed,
                 {W.Cell.placements(Bad)[0].Worker});
  }
  W.settle();
  BOOST_REQUIRE(W.Ended.size() == 1U);
  BOOST_TEST(W.Ended[0].Failed);
  for (const WorkerSpec &Spec : W.Cell.workers())
    BOOST_TEST((*W.Cell.status(Spec.Name) == WorkerStatus::Up));
}

// Guards against a job that waits forever because it has failed on every worker
// of a small cell.
BOOST_AUTO_TEST_CASE(JobThatFailsOnEveryWorkerOfASmallCellEndsAsFailed) {
  World W;
  W.addWorkers(2, 8, 2);
  std::string Bad = W.submit("a", {1, 1}, true).Id;
  for (unsigned N = 0; W.Ended.empty() && N != 40; ++N, W.Now += 60'000) {
    W.settle();
    if (!W.runs(Bad))
      continue;
    W.endAttempt(Bad, AttemptEnd::TaskFailed,
                 {W.Cell.placements(Bad)[0].Worker});
  }
  BOOST_REQUIRE(W.Ended.size() == 1U);
  BOOST_TEST(W.Ended[0].Failed);
}

// Guards against a job that must not be repeated and waits forever for another
// job to probe the only worker.
BOOST_AUTO_TEST_CASE(NonIdempotentJobProbesTheOnlyWorkerAfterADelay) {
  World W;
  W.addWorkers(1, 8, 1);
  for (unsigned N = 0; N != 3; ++N) {
    JobView &V = W.submit("a", {1, 1}, true);
    V.Kind = "kind" + std::to_string(N);
    W.Sched.jobPending(V, W.Now);
    W.settle();
    std::string Id = V.Id;
    W.endAttempt(Id, AttemptEnd::TaskFailed, {"w0"});
    W.cancel(Id);
  }
  W.settle();
  W.Now += 60'000;
  W.settle();
  std::string Only = W.submit("a", {1, 1}, false).Id;
  W.settle();
  BOOST_TEST(!W.runs(Only));
  W.Now += 60'000;
  W.settle();
  BOOST_TEST(W.runs(Only));
}

// Guards against retries that crowd out first attempts, and against retries
// that never come when nothing else starts.
BOOST_AUTO_TEST_CASE(RetriesKeepToTheirBudget) {
  World W;
  W.addWorkers(10, 8, 5);
  std::vector<std::string> Ids;
  for (unsigned N = 0; N != 30; ++N) {
    JobView &V = W.submit("a", {1, 1}, true);
    V.Kind = "kind" + std::to_string(N);
    W.Sched.jobPending(V, W.Now);
    Ids.push_back(V.Id);
  }
  W.settle();
  for (const std::string &Id : Ids)
    W.endAttempt(Id, AttemptEnd::TaskFailed);
  W.settle();
  BOOST_TEST(W.placed().size() == 10U);
  std::string Waits;
  for (const std::string &Id : Ids)
    if (!W.runs(Id))
      Waits = Id;
  BOOST_TEST(W.Sched.explain(Waits, W.Cell, W.Now).Limit == "retry_budget");
  W.Now += 60'000;
  W.settle();
  BOOST_TEST(W.placed().size() == 11U);
}

// Guards against trusting declared run times, and against a borrower that
// overruns and keeps a neighbour waiting.
BOOST_AUTO_TEST_CASE(OverrunningBorrowerIsThrottledThenMoved) {
  World W;
  W.addWorkers(1, 8, 1);
  W.guarantee({{"a", {{4, 1, false, 1}}}});
  for (unsigned N = 0; N != 3; ++N) {
    std::string Id = W.submit("b", {1, 8}, true).Id;
    W.settle();
    W.Now += 10'000;
    W.finish(Id);
  }
  BOOST_TEST(W.Sched.learnedRunMs("b", "k8") == 10'000);
  std::string Long = W.submit("b", {1, 8}, true).Id;
  W.settle();
  W.Now += 39'000;
  W.settle();
  BOOST_TEST(W.Sched.throttled(W.Cell).empty());
  W.Now += 2'000;
  W.settle();
  BOOST_TEST(W.Sched.throttled(W.Cell) == std::vector<std::string>{Long});
  std::string Neighbour = W.submit("c", {1, 4}, true).Id;
  W.settle();
  BOOST_TEST(W.runs(Neighbour));
  BOOST_TEST(!W.runs(Long));
}

BOOST_AUTO_TEST_SUITE_END()
