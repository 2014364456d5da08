#include "heathersaddle/cluster/Admission.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

workload::JobSpec job(std::int64_t EstimateMs, double Stretch) {
  workload::JobSpec J;
  J.Stretch = Stretch;
  workload::Step S;
  S.EstimateMs = EstimateMs;
  J.Steps.push_back(S);
  return J;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionUnderOverload)

// Guards against refusals although the workers can take the job in time.
BOOST_AUTO_TEST_CASE(JobThatCanEndInTimeIsAccepted) {
  BOOST_TEST(!overloadRetryDelay(job(8'000, 3), {48, 0}));
  BOOST_TEST(!overloadRetryDelay(job(8'000, 3), {48, 48 * 10'000}));
}

// Guards against accepted jobs that wait so long that their results are of no
// use to the caller.
BOOST_AUTO_TEST_CASE(JobThatWouldEndTooLateIsRefused) {
  auto After = overloadRetryDelay(job(8'000, 3), {48, 48 * 60'000});
  BOOST_REQUIRE(After);
  BOOST_TEST(After->count() > 1'000);
}

// Guards against callers that are told to retry too soon, and all at once: the
// retry delay must grow with the backlog.
BOOST_AUTO_TEST_CASE(LongerBacklogGivesLongerRetryDelay) {
  auto Short = overloadRetryDelay(job(2'500, 1.5), {48, 48 * 8'000});
  auto Long = overloadRetryDelay(job(2'500, 1.5), {48, 48 * 14'000});
  BOOST_REQUIRE(Short);
  BOOST_REQUIRE(Long);
  BOOST_TEST(Long->count() > Short->count());
}

// Guards against refusals of jobs that are due later or never end, to which the
// current backlog does not matter.
BOOST_AUTO_TEST_CASE(RepeatingAndLongRunningJobsAreNotRefused) {
  auto RepeatingJob = job(8'000, 3);
  RepeatingJob.OccurrenceCount = 4;
  BOOST_TEST(!overloadRetryDelay(RepeatingJob, {48, 48 * 600'000}));
  auto LongRunningJob = job(8'000, 3);
  LongRunningJob.Steps[0].LongRunning = true;
  BOOST_TEST(!overloadRetryDelay(LongRunningJob, {48, 48 * 600'000}));
}

// Guards against jobs that are accepted while all data centres are drained and
// end too late, and against refusals of those that can wait.
BOOST_AUTO_TEST_CASE(JobThatCannotWaitForTheEndOfADrainIsRefused) {
  Load L;
  L.DrainedWorkers = 48;
  L.DrainedFor = base::Millis(500);
  BOOST_TEST(!overloadRetryDelay(job(2'500, 1.5), L));
  L.DrainedFor = base::Millis(9'000);
  auto After = overloadRetryDelay(job(2'500, 1.5), L);
  BOOST_REQUIRE(After);
  BOOST_TEST(After->count() == 9'000);
  BOOST_TEST(!overloadRetryDelay(job(8'000, 3), L));
  // The work that waits meanwhile comes first.
  L.WorkAheadMs = 48 * 60'000;
  After = overloadRetryDelay(job(8'000, 3), L);
  BOOST_REQUIRE(After);
  BOOST_TEST(After->count() == 20'000);
  L.DrainedWorkers = 0;
  BOOST_TEST(!overloadRetryDelay(job(8'000, 3), L));
}

// Guards against callers whose attempts are used up before an outage ends: five
// attempts, one a second, do not last for an outage of six seconds.
BOOST_AUTO_TEST_CASE(FiveAttemptsSpanAnOutageOfTenSeconds) {
  base::Millis T(1'000);
  for (int Attempt = 1; Attempt < 5; ++Attempt)
    T += outageRetryDelay(T);
  BOOST_TEST(T.count() >= 10'000);
  BOOST_TEST(outageRetryDelay(base::Millis(100)).count() == 1'000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdmissionWithASlowStore)

// Guards against refusals because of an append that is merely in flight.
BOOST_AUTO_TEST_CASE(JobThatIsStoredInTimeIsAccepted) {
  base::Millis Wait(3'000);
  BOOST_TEST(!slowStoreRetryDelay({base::Millis(10)}, Wait));
  BOOST_TEST(!slowStoreRetryDelay({base::Millis(10), true, base::Millis(1'000)},
                                  Wait));
  BOOST_TEST(!slowStoreRetryDelay(
      {base::Millis(1'500), true, base::Millis(600)}, Wait));
}

// Guards against callers that wait in vain.
BOOST_AUTO_TEST_CASE(JobThatWouldBeStoredTooLateIsRefused) {
  AppendState Store{base::Millis(1'500), true, base::Millis(100)};
  auto After = slowStoreRetryDelay(Store, base::Millis(3'000));
  BOOST_REQUIRE(After);
  BOOST_TEST(After->count() == 1'400);
  BOOST_TEST(slowStoreRetryDelay({base::Millis(1'500)}, base::Millis(1'600))
                 .has_value());
}

BOOST_AUTO_TEST_SUITE_END()
