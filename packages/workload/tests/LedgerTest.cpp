#include "heathersaddle/workload/Ledger.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle::workload;

namespace {

JobSpec spec() {
  JobSpec J;
  J.Id = "5c0e7a21d94b36f8";
  J.Queue = "q";
  J.Service = "s";
  J.Account = "maison";
  J.Payload = "a\"b";
  J.Priority = 2;
  J.MaxAttempts = 4;
  J.Stretch = 1.5;
  J.LatencyObjectiveMs = 250;
  J.OccurrenceCount = 3;
  J.IntervalMs = 4'500;
  J.StartAtMs = 1'700'000'000'000;
  J.AcceptedMs = 1'700'000'000'001;
  J.NeedsAdvice = true;
  Step S;
  S.Count = 2;
  S.Need = {7'500, 31'000, 8};
  S.EstimateMs = 2'500;
  S.Gang = S.SameRack = S.SavesProgress = true;
  J.Steps.push_back(S);
  S.DependsOn = {0};
  S.Gang = S.SameRack = false;
  S.Speculative = S.LongRunning = S.Scavenger = true;
  S.RequiredLabel = "a";
  S.DataRack = "r1-1";
  S.MaxPerWorker = 2;
  S.Image = "i";
  S.LatencyTargetMs = 20;
  S.MaxUnavailable = 1;
  J.Steps.push_back(S);
  return J;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobLedger)

BOOST_AUTO_TEST_SUITE(RecordsReadBack)

// Guards against a field that is not written, which the next owner would lose.
BOOST_AUTO_TEST_CASE(SubmissionKeepsEveryField) {
  Ledger L;
  JobSpec J = spec();
  BOOST_REQUIRE(L.apply(Ledger::submission(J)).has_value());
  const Job *Read = L.find(J.Id);
  BOOST_REQUIRE(Read);
  BOOST_TEST(Ledger::submission(Read->Spec).Value ==
             Ledger::submission(J).Value);
  BOOST_TEST(Read->Spec.Steps[1].Scavenger);
  BOOST_TEST(Read->Spec.Steps[1].room().CpuMilli == 0);
  BOOST_TEST(Read->Spec.Stretch == 1.5);
}

// Guards against progress that changes when it is written and read back.
BOOST_AUTO_TEST_CASE(ProgressKeepsEveryTask) {
  Ledger L;
  Job J;
  J.Spec = spec();
  J.HasSubmission = true;
  J.State = JobState::Running;
  J.Tasks[{0, 0, 1}] = {TaskPhase::Placed, 3, "w1", 17, 1, 2, "saved"};
  J.Tasks[{1, 1, 0}] = {TaskPhase::Waiting, 2, "", 0, 2, 2, ""};
  J.Tasks[{1, 1, 1}] = {TaskPhase::Waiting, 4, "", 0, 0, 0, "", 2, 3};
  J.Tasks[{2, 0, 0}] = {TaskPhase::Placed, 2, "w2", 18, 0, 0, "", 1, 1};
  J.Tasks[{2, 1, 1}] = {TaskPhase::Done, 1, "", 0, 0, 0, ""};
  J.Tasks[{0, 0, 1}].WorkerAddress = "10.0.0.1:80";
  J.Tasks[{2, 0, 0}].WorkerAddress = "10.0.0.2:80";
  J.Tasks[{1, 1, 0}].Lapsed = {2, "w3", 19, "10.0.0.3:80"};
  J.Tasks[{1, 1, 1}].Lapsed = {4, "w4", 20, ""};
  J.Tasks[{1, 1, 1}].CrashedWorkers = {"10.0.0.1:80", "10.0.0.4:80"};
  J.Tasks[{2, 0, 0}].CrashedWorkers = {"10.0.0.4:80"};
  J.Tasks[{2, 0, 0}].CrashDecibans = 43;
  // Its suspicion has been cleared.
  J.Tasks[{1, 0, 1}] = {TaskPhase::Waiting, 6, "", 0, 0, 0, "", 0, 5};
  BOOST_REQUIRE(L.apply(Ledger::submission(J.Spec)).has_value());
  BOOST_REQUIRE(L.apply(Ledger::progress(J)).has_value());
  const Job *Read = L.find(J.Spec.Id);
  BOOST_REQUIRE(Read);
  BOOST_TEST((Read->Tasks == J.Tasks));
  BOOST_TEST((Read->State == JobState::Running));
}

// Guards against progress that is lost because an earlier version of the daemon
// wrote it, without the counts of crashes.
BOOST_AUTO_TEST_CASE(ProgressWithoutCrashesIsRead) {
  Ledger L;
  BOOST_REQUIRE(L.apply(Ledger::submission(spec())).has_value());
  BOOST_REQUIRE(L.apply({"p/" + spec().Id,
                         R"({"s":1,"t":[[0,0,0,1,3,1,2,"saved","w1",17],)"
                         R"([0,0,1,0,2,0,0,""]]})"})
                    .has_value());
  const Job *Read = L.find(spec().Id);
  BOOST_TEST((Read->task({0, 0, 0}) ==
              TaskProgress{TaskPhase::Placed, 3, "w1", 17, 1, 2, "saved"}));
  BOOST_TEST((Read->task({0, 0, 1}) ==
              TaskProgress{TaskPhase::Waiting, 2, "", 0, 0, 0, ""}));
}

// Guards against progress records of wide jobs that grow with every task that
// is done.
BOOST_AUTO_TEST_CASE(ConsecutiveDoneTasksShareARow) {
  Ledger L;
  Job J;
  J.Spec = spec();
  J.Spec.Steps[1].Count = 5'000;
  J.HasSubmission = true;
  for (unsigned N = 0; N < 5'000; ++N)
    J.Tasks[{0, 1, N}] = {
        TaskPhase::Done, N < 3'000 ? 1U : 2U, "", 0, 0, 0, ""};
  J.Tasks[{0, 1, 7}] = {TaskPhase::Placed, 3, "w1", 17, 1, 2, "saved"};
  J.Tasks[{1, 0, 0}] = {TaskPhase::Done, 2, "", 0, 0, 0, ""};
  BOOST_TEST(Ledger::progress(J).Value.size() < 150u);
  (void)L.apply(Ledger::submission(J.Spec));
  BOOST_REQUIRE(L.apply(Ledger::progress(J)).has_value());
  BOOST_TEST((L.find(J.Spec.Id)->Tasks == J.Tasks));
}

// Guards against a repeated submission that changes the time of acceptance or
// erases progress.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionChangesNothing) {
  Ledger L;
  JobSpec J = spec();
  (void)L.apply(Ledger::submission(J));
  J.AcceptedMs += 5'000;
  (void)L.apply(Ledger::submission(J));
  BOOST_TEST(L.find(J.Id)->Spec.AcceptedMs == spec().AcceptedMs);
}

// Guards against a lost cancellation: a page of newest records may hold it
// before the submission.
BOOST_AUTO_TEST_CASE(CancellationReadBeforeItsSubmissionTakesEffect) {
  Ledger L;
  (void)L.apply(Ledger::cancellation(spec().Id, 1));
  BOOST_TEST(!L.find(spec().Id));
  (void)L.apply(Ledger::submission(spec()));
  BOOST_REQUIRE(L.find(spec().Id));
  BOOST_TEST((L.find(spec().Id)->visibleState() == JobState::Cancelled));
}

// Guards against an ownership record of an earlier epoch that is read late.
BOOST_AUTO_TEST_CASE(OwnershipOfAnEarlierEpochIsIgnored) {
  Ledger L;
  Ownership New;
  New.Epoch = 5;
  New.Daemon = "b";
  Ownership Old;
  Old.Epoch = 4;
  Old.Daemon = "a";
  (void)L.apply(Ledger::ownership(New));
  (void)L.apply(Ledger::ownership(Old));
  BOOST_TEST(L.owner().Daemon == "b");
}

// Guards against a crash on a malformed record, such as one of another version.
BOOST_AUTO_TEST_CASE(MalformedRecordIsAnErrorAndChangesNothing) {
  Ledger L;
  (void)L.apply(Ledger::submission(spec()));
  for (const char *Bad : {"{", "[]", "{\"s\":9}", "{\"s\":1,\"t\":[[1]]}"})
    BOOST_TEST(!L.apply({"p/" + spec().Id, Bad}).has_value());
  BOOST_TEST(!L.apply({"unknown", "x"}).has_value());
  BOOST_TEST((L.find(spec().Id)->State == JobState::Queued));
}

// Guards against an owner that ends by itself because a record names a task
// that the job does not have.
BOOST_AUTO_TEST_CASE(ProgressOfUnknownTasksIsDropped) {
  for (const char *Key : {"3,0,0", "0,2,0", "0,0,2", "4294967296,0,0",
                          "0,4294967296,0", "0,0,4294967296"}) {
    BOOST_TEST_CONTEXT(Key) {
      KeyValue Record{"p/" + spec().Id, "{\"s\":1,\"t\":[[" + std::string(Key) +
                                            ",1,1,0,0,\"\",\"w1\",17]]}"};
      Ledger L;
      (void)L.apply(Ledger::submission(spec()));
      BOOST_TEST(!L.apply(Record).has_value());
      BOOST_TEST(L.find(spec().Id)->Tasks.empty());
      Ledger ProgressFirst;
      (void)ProgressFirst.apply(Record);
      (void)ProgressFirst.apply(Ledger::submission(spec()));
      BOOST_TEST(ProgressFirst.find(spec().Id)->Tasks.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(JobObjective)

// Guards against estimates of parallel steps being added up.
BOOST_AUTO_TEST_CASE(UsesTheLongestChainOfSteps) {
  JobSpec J = spec();
  BOOST_TEST(J.longestChainMs() == 5'000);
  J.Steps[1].DependsOn.clear();
  BOOST_TEST(J.longestChainMs() == 2'500);
  BOOST_TEST(J.objectiveMs() == 2'500 * 3 / 2 + 250);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a missing field: without the address, daemons cannot reach the
// owner; without the duration of its appends, a slow store looks like an owner
// that has failed; without the drained workers, jobs are accepted that cannot
// run in time.
BOOST_AUTO_TEST_CASE(OwnershipKeepsAddressAppendTimeAndDrainedWorkers) {
  Ownership O;
  O.Epoch = 3;
  O.Daemon = "a";
  O.Address = "10.0.0.1:7000";
  O.AppendMs = 288;
  O.DrainedWorkers = 12;
  Ledger L;
  BOOST_REQUIRE(L.apply(Ledger::ownership(O)).has_value());
  BOOST_TEST(L.owner().Address == O.Address);
  BOOST_TEST(L.owner().AppendMs == O.AppendMs);
  BOOST_TEST(L.owner().DrainedWorkers == O.DrainedWorkers);
}

BOOST_AUTO_TEST_SUITE_END()
