#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_FIXTURE_TEST_SUITE(RegistryWithEntriesOfOtherWriters, Deployment)

namespace {

struct Change {
  std::string Name;
  std::function<void(WorkerEntry &)> Apply;
};

/// What another writer may have put into a copy of a worker's entry.
const std::vector<Change> &changes() {
  static const std::vector<Change> All{
      {"service", [](WorkerEntry &E) { E.Service = "unnamed"; }},
      {"no start time", [](WorkerEntry &E) { E.ProcessStartMs = 0; }},
      {"earlier start time", [](WorkerEntry &E) { E.ProcessStartMs -= 5; }},
      {"later start time", [](WorkerEntry &E) { E.ProcessStartMs += 5; }},
      {"service and start time",
       [](WorkerEntry &E) {
         E.Service = "unnamed";
         E.ProcessStartMs += 5;
       }},
      {"address of no worker", [](WorkerEntry &E) { E.Address = "none:1"; }},
      {"address of another worker", [](WorkerEntry &E) { E.Address = "w2:1"; }},
      {"address of another worker and start time",
       [](WorkerEntry &E) {
         E.Address = "w2:1";
         E.ProcessStartMs += 5;
       }},
      {"capacity and start time",
       [](WorkerEntry &E) {
         E.Capacity = {};
         E.ProcessStartMs += 5;
       }},
      {"labels",
       [](WorkerEntry &E) {
         E.Labels = {"b", "r2"};
       }},
      {"draining and start time", [](WorkerEntry &E) {
         E.Draining = true;
         E.LeavesInMs = 0;
         E.ProcessStartMs += 5;
       }}};
  return All;
}

} // namespace

// Guards against a worker at work that gets no new tasks, because another
// writer has written something unreadable under its id.
BOOST_AUTO_TEST_CASE(WorkerBehindAnUnreadableEntryStaysInUse) {
  Registry.push_back({"w1", std::nullopt, true});
  run(1'000);
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 300)));
  run(200);
  BOOST_TEST(Workers["w1"].Runs.size() == 8u);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 2'000));
}

// Guards against tasks that run twice at the same time, and against a worker
// that is not used any more, after an entry of another writer under the id of a
// worker at work.
BOOST_AUTO_TEST_CASE(WorkerAtWorkIsBelievedMoreThanTheList) {
  unsigned N = 0;
  for (const Change &C : changes()) {
    std::string Id = std::to_string(N++);
    BOOST_TEST_CONTEXT(C.Name) {
      BOOST_TEST(!submit(anyDaemon(), job(Id, 24, 1, 3'000)));
      run(300);
      WorkerEntry Foreign = Workers["w1"].Entry;
      C.Apply(Foreign);
      Registry.push_back({"w1", Foreign});
      run(1'000);
      BOOST_TEST(Workers["w1"].Runs.size() == 8u);
      BOOST_TEST(
          runUntil([&] { return allShow(Id, JobState::Completed); }, 4'000));
      // Still without another entry of the worker itself.
      std::string Next = Id + "a";
      BOOST_TEST(!submit(anyDaemon(), job(Next, 24, 1, 500)));
      run(300);
      BOOST_TEST(Workers["w1"].Runs.size() == 8u);
      Registry.push_back({"w1", Workers["w1"].Entry});
      BOOST_TEST(
          runUntil([&] { return allShow(Next, JobState::Completed); }, 2'000));
    }
  }
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u, Task.Job);
  BOOST_TEST(!RunsOverlapped);
  BOOST_TEST(!StartedAfterAcknowledgedEnd);
}

// Guards against tasks that run again for each end of the worker's earlier
// incarnation, because its restart went unnoticed behind such an entry.
BOOST_AUTO_TEST_CASE(RestartBehindAnEntryOfAnotherWriterIsNoticed) {
  unsigned N = 0;
  for (const Change &C : changes()) {
    std::string Id = std::to_string(N++);
    BOOST_TEST_CONTEXT(C.Name) {
      BOOST_TEST(!submit(anyDaemon(), job(Id, 24, 1, 200)));
      BOOST_TEST(
          runUntil([&] { return allShow(Id, JobState::Completed); }, 3'000));
      run(500);
      WorkerEntry Foreign = Workers["w1"].Entry;
      C.Apply(Foreign);
      Workers["w1"].Up = false;
      run(200);
      Registry.push_back({"w1", Foreign});
      run(300);
      addWorker("w1", "r1").ClockZeroMs = Clock;
      run(2'000);
      std::string Next = Id + "a";
      BOOST_TEST(!submit(anyDaemon(), job(Next, 24, 1, 300)));
      run(200);
      BOOST_TEST(Workers["w1"].Runs.size() == 8u);
      BOOST_TEST(
          runUntil([&] { return allShow(Next, JobState::Completed); }, 3'000));
      run(1'000);
    }
  }
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u, Task.Job);
  BOOST_TEST(!StartedAfterAcknowledgedEnd);
}

// Guards against an owner that takes over and believes such an entry, which it
// reads first, more than the runs that are recorded.
BOOST_AUTO_TEST_CASE(NextOwnerBelievesRecordedRunsMoreThanTheList) {
  unsigned N = 0;
  for (const Change &C : changes()) {
    std::string Id = std::to_string(N++);
    BOOST_TEST_CONTEXT(C.Name) {
      BOOST_TEST(!submit(anyDaemon(), job(Id, 24, 1, 4'000)));
      run(300);
      WorkerEntry Foreign = Workers["w1"].Entry;
      C.Apply(Foreign);
      std::string Former = owner();
      kill(Former);
      Registry.push_back({"w1", Foreign});
      BOOST_REQUIRE(runUntil([&] { return !owner().empty(); }, 4'000));
      run(300);
      Registry.push_back({"w1", Workers["w1"].Entry});
      addDaemon(Former);
      BOOST_TEST(
          runUntil([&] { return allShow(Id, JobState::Completed); }, 14'000));
    }
    BOOST_TEST(!RunsOverlapped, C.Name);
    BOOST_TEST(!StartedAfterAcknowledgedEnd, C.Name);
  }
}

// Guards against a worker that is not used after a restart at another address
// and of another kind, or whose lost tasks wait for its lease.
BOOST_AUTO_TEST_CASE(RestartAtAnotherAddressIsNoticedAtOnce) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 4'000)));
  run(300);
  FakeWorker &W = addWorker("w2", "r2", 16);
  W.Entry.Address = "w2:2";
  W.Entry.Labels = {"b", "r2"};
  Registry.back() = {"w2", W.Entry};
  BOOST_TEST(runUntil([&] { return Workers["w2"].Runs.size() == 8u; }, 1'000));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 6'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against a restart that is noticed late, because another writer's entry
// came after the worker's own and before its first answer.
BOOST_AUTO_TEST_CASE(OwnEntryIsKeptUntilTheWorkerAnswers) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 4'000)));
  run(300);
  FakeWorker &W = addWorker("w2", "r1");
  W.Up = false;
  WorkerEntry Foreign = W.Entry;
  Foreign.ProcessStartMs += 5;
  Registry.push_back({"w2", Foreign});
  run(600);
  W.Up = true;
  BOOST_TEST(runUntil([&] { return Workers["w2"].Runs.size() == 8u; }, 2'500));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 6'000));
}

// Guards against workers that are never used because the registry was read
// before the version of the configuration that names their service.
BOOST_AUTO_TEST_CASE(WorkersOfAServiceThatIsNamedLaterAreUsed) {
  for (const char *Id : {"w1", "w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  FakeWorker &W = addWorker("w4", "r1");
  W.Entry.Service = "later";
  Registry.back() = {"w4", W.Entry};
  run(500);
  auto Next = std::make_shared<Configuration>(*OperatorTopic.back().Config);
  ++Next->Version;
  Next->Services.emplace_back("later");
  OperatorTopic.push_back({Next});
  run(500);
  auto J = job("1", 8, 1, 300);
  J.Service = "later";
  BOOST_TEST(!submit(anyDaemon(), J));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 2'000));
}

BOOST_AUTO_TEST_SUITE_END()
