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

BOOST_AUTO_TEST_SUITE(AdmissionUnderABurst)

// Guards against refusals while there is room.
BOOST_AUTO_TEST_CASE(AcceptsWhatCanStillBeOnTime) {
  BOOST_TEST(!overloadRetryDelay(job(8'000, 3), {48, 0}));
  BOOST_TEST(!overloadRetryDelay(job(8'000, 3), {48, 48 * 10'000}));
}

// Guards against work that waits until it is of no use to anybody.
BOOST_AUTO_TEST_CASE(RefusesWhatWouldEndTooLate) {
  auto After = overloadRetryDelay(job(8'000, 3), {48, 48 * 60'000});
  BOOST_REQUIRE(After);
  BOOST_TEST(After->count() > 1'000);
}

// Guards against callers who are told to come back all at once, too soon.
BOOST_AUTO_TEST_CASE(ALongerBacklogMeansALongerWait) {
  auto Short = overloadRetryDelay(job(2'500, 1.5), {48, 48 * 8'000});
  auto Long = overloadRetryDelay(job(2'500, 1.5), {48, 48 * 14'000});
  BOOST_REQUIRE(Short);
  BOOST_REQUIRE(Long);
  BOOST_TEST(Long->count() > Short->count());
}

// Guards against the refusal of work that is due later or never ends.
BOOST_AUTO_TEST_CASE(ScheduledAndLastingWorkIsNotMeasuredByTheBacklog) {
  auto RepeatingJob = job(8'000, 3);
  RepeatingJob.Repeats = 4;
  BOOST_TEST(!overloadRetryDelay(RepeatingJob, {48, 48 * 600'000}));
  auto LongRunningJob = job(8'000, 3);
  LongRunningJob.Steps[0].LongRunning = true;
  BOOST_TEST(!overloadRetryDelay(LongRunningJob, {48, 48 * 600'000}));
}

// Guards against callers whose tries are used up before an outage is over: five
// tries, one a second, do not outlast six seconds.
BOOST_AUTO_TEST_CASE(FiveTriesOutlastAnOutageOfTenSeconds) {
  base::Millis T(1'000);
  for (int Attempt = 1; Attempt < 5; ++Attempt)
    T += outageRetryDelay(T);
  BOOST_TEST(T.count() >= 10'000);
  BOOST_TEST(outageRetryDelay(base::Millis(100)).count() == 1'000);
}

BOOST_AUTO_TEST_SUITE_END()
