#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_FIXTURE_TEST_SUITE(DeploymentWithThreeDaemons, Deployment)

BOOST_AUTO_TEST_SUITE(WithoutFailures)

// Guards against a job that is lost, runs twice or is not reported by all
// daemons.
BOOST_AUTO_TEST_CASE(EveryTaskRunsOnceAndAllDaemonsReportTheEnd) {
  BOOST_TEST(!submit(follower(), job("1", 10, 1, 500)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
  BOOST_TEST(Starts.size() == 10u);
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against a second job when the same submission is sent again to other
// daemons.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionIsOneJob) {
  auto J = job("1", 1, 1, 300);
  BOOST_TEST(!submit(anyDaemon(), J));
  run(400);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(!submit(*N, J));
  run(2'000);
  BOOST_TEST(Starts.size() == 1u);
  BOOST_TEST((Starts.begin()->second == 1u));
}

// Guards against steps that start before those they depend on.
BOOST_AUTO_TEST_CASE(StepStartsWhenItsDependenciesAreDone) {
  auto J = job("1", 1, 1, 400);
  J.Steps.push_back(J.Steps[0]);
  J.Steps[1].DependsOn = {0};
  BOOST_TEST(!submit(anyDaemon(), J));
  run(300);
  BOOST_TEST(Starts.size() == 1u);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
  BOOST_TEST(Starts.size() == 2u);
}

// Guards against runs that continue after the cancellation of their job.
BOOST_AUTO_TEST_CASE(CancelledJobIsStopped) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 4, 1, 60'000)));
  run(300);
  Lookup Answer = Lookup::Stale;
  follower().cancel("1", [&](Lookup L) { Answer = L; });
  run(1'000);
  BOOST_TEST((Answer == Lookup::Found));
  BOOST_TEST(allShow("1", JobState::Cancelled));
  for (const auto &[Id, W] : Workers)
    BOOST_TEST(W.Runs.empty());
}

// Guards against the answer that a job is unknown when another daemon has just
// accepted it: the job would run although its caller relies on its not running.
BOOST_AUTO_TEST_CASE(CancellationFindsJobAcceptedByAnotherDaemon) {
  std::optional<Lookup> Answer;
  std::optional<Lookup> UnknownJobAnswer;
  bool Accepted = false;
  Node &Other = follower();
  Node &Owner = *Daemons[owner()];
  Owner.submit(job("1", 2, 1, 60'000), [&](const std::optional<Refusal> &R) {
    Accepted = !R;
    Other.cancel("1", [&](Lookup L) { Answer = L; });
    Other.cancel("none", [&](Lookup L) { UnknownJobAnswer = L; });
  });
  run(2'500);
  BOOST_TEST(Accepted);
  BOOST_TEST((Answer == Lookup::Found));
  BOOST_TEST((UnknownJobAnswer == Lookup::Unknown));
  BOOST_TEST(allShow("1", JobState::Cancelled));
}

// Guards against callers that are refused at the same time and also retry at
// the same time.
BOOST_AUTO_TEST_CASE(RefusedCallersGetDifferentRetryDelays) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 600'000)));
  run(2'000);
  std::set<std::int64_t> RetrySeconds;
  for (int N = 0; N < 10; ++N) {
    auto R = submit(follower(), job("r" + std::to_string(N), 1, 1, 300));
    BOOST_REQUIRE(R);
    BOOST_TEST((R->Why == Refusal::Overloaded));
    RetrySeconds.insert(R->RetryAfter.count() / 1'000);
  }
  BOOST_TEST(RetrySeconds.size() > 3u);
}

// Guards against runs on a worker that the queue's policy does not allow.
BOOST_AUTO_TEST_CASE(JobRunsOnlyWhereTheAdvisorAllowsIt) {
  AllowedWorkers = {"w2"};
  JobsNeedingTicket = {"1"};
  auto J = job("1", 12, 1, 300);
  J.NeedsAdvice = true;
  BOOST_TEST(!submit(anyDaemon(), J));
  run(150);
  BOOST_TEST(Workers["w2"].Runs.size() == 8u);
  BOOST_TEST(Workers["w1"].Runs.empty());
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  BOOST_TEST(TicketsRefused == 0u);
}

// Guards against jobs that wait for the advisor without a trace in the metrics.
BOOST_AUTO_TEST_CASE(CallsAboveTheAdvisorsLimitAreCounted) {
  AllowedWorkers = {"w1", "w2", "w3"};
  auto Submit = [&](const std::string &Prefix, int Count) {
    for (int N = 0; N < Count; ++N) {
      auto J = job(Prefix + std::to_string(N), 1, 1, 100);
      J.NeedsAdvice = true;
      JobsNeedingTicket.insert(J.Id);
      Daemons[owner()]->submit(J, [](const std::optional<Refusal> &) {});
    }
    run(2'000);
    for (int N = 0; N < Count; ++N)
      BOOST_TEST(allShow(Prefix + std::to_string(N), JobState::Completed));
    const auto &Counts = Daemons[owner()]->stats().Counts;
    auto It = Counts.find("advice_calls_held_back");
    return It == Counts.end() ? 0U : It->second;
  };
  BOOST_TEST(Submit("few", 8) == 0u);
  BOOST_TEST(Submit("many", 12) == 4u);
}

// Guards against an owner that ends by itself when the tickets of an urgent
// task expire while work is stopped for it, and the new ones name another
// worker.
BOOST_AUTO_TEST_CASE(OwnerSurvivesAHoldWhoseTicketExpires) {
  addWorker("h", "rh").StopDurationMs = 450;
  addWorker("x", "rx");
  run(200);
  auto Submit = [&](const std::string &Id, unsigned Priority, std::int64_t Gpus,
                    std::int64_t Work, const std::string &Label) {
    auto J = job(Id, 1, Gpus, Work);
    J.Priority = Priority;
    J.Account = "";
    J.Steps[0].RequiredLabel = Label;
    BOOST_TEST(!submit(anyDaemon(), J));
  };
  Submit("x", 0, 8, 20'000, "rx");
  Submit("urgent-on-h", 0, 1, 2'400, "rh");
  Submit("other-on-h", 1, 7, 20'000, "rh");
  run(150);
  BOOST_REQUIRE(Workers["h"].Runs.size() == 2u);
  AllowedWorkers = {"h"};
  auto J = job("1", 1, 8, 300);
  J.Priority = 0;
  J.Account = "";
  J.NeedsAdvice = true;
  JobsNeedingTicket = {"1"};
  BOOST_TEST(!submit(anyDaemon(), J));
  BOOST_REQUIRE(runUntil(
      [&] {
        const auto &Runs = Workers["h"].Runs;
        return Runs.size() == 1 && Runs[0].StopAtMs >= 0;
      },
      3'000));
  AllowedWorkers = {"x"};
  BOOST_REQUIRE(runUntil([&] { return Workers["h"].Runs.empty(); }, 2'000));
  run(100);
  BOOST_TEST(TicketsRefused == 0u);
  AllowedWorkers = {"h", "x"};
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
}

// Guards against a daemon that returns to an older version of the
// configuration.
BOOST_AUTO_TEST_CASE(OlderConfigurationIsIgnored) {
  configure(5);
  run(500);
  configure(3);
  run(500);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(N->configuration()->Version == 5u);
}

// Guards against the use of resources of a run that is being stopped before the
// worker lists its end.
BOOST_AUTO_TEST_CASE(ResourcesOfStoppingRunAreHeldUntilItsEndIsListed) {
  for (auto &[Id, W] : Workers)
    W.StopDurationMs = 150;
  // Short jobs end while the stops are in progress, so that the workers' lists
  // are read in the meantime.
  BOOST_TEST(!submit(anyDaemon(), job("1", 4, 1, 60'000)));
  for (int N = 0; N < 20; ++N) {
    auto Short = job("short" + std::to_string(N), 1, 1, 480 + 20 * N);
    Short.Priority = 0;
    Short.Account = "";
    BOOST_TEST(!submit(anyDaemon(), Short));
  }
  run(300);
  auto Urgent = job("2", 4, 1, 500);
  Urgent.Queue = "q0";
  Urgent.Priority = 0;
  Urgent.Steps[0].Gang = true;
  BOOST_TEST(!submit(anyDaemon(), Urgent));
  BOOST_TEST(
      runUntil([&] { return allShow("2", JobState::Completed); }, 3'000));
  BOOST_TEST(StartsRefusedForRoom == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
