#define BOOST_TEST_MODULE report
#include "heathersaddle/report/BurnReport.h"
#include "heathersaddle/report/RequestStats.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::report;

namespace {

BurnRow row(std::uint64_t Good, std::uint64_t Bad) {
  BurnRow R;
  R.Account = "maison-<a>";
  R.Objective = "urgent_start";
  R.Target = 0.99;
  R.Windows.fill({Good, Bad});
  return R;
}

BurnReport daemonReport(const std::string &Name, std::uint64_t Offset,
                        BurnRow Row) {
  BurnReport R;
  R.Daemon = Name;
  R.Offset = Offset;
  R.ClockMs = 1'000'000;
  R.Rows.push_back(std::move(Row));
  return R;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheBurnReport)

// Guards against showing a window without events as one without errors.
BOOST_AUTO_TEST_CASE(ShowsNoFigureForAnEmptyWindow) {
  BurnRow R = row(0, 0);
  BOOST_TEST(!R.burn(0));
  BOOST_TEST(R.verdict() == "no events");
  std::vector<BurnReport> Reports{daemonReport("d1", 1, R)};
  std::string Table = renderTable(*merge(Reports, {}));
  BOOST_TEST(Table.find("no events") != std::string::npos);
  BOOST_TEST(Table.find("0.00") == std::string::npos);
}

// Guards against an alert threshold that is never or always exceeded.
BOOST_AUTO_TEST_CASE(NamesFastAndSlowBurn) {
  BOOST_TEST(row(80, 20).verdict() == "fast");
  BOOST_TEST(row(95, 5).verdict() == "slow");
  BOOST_TEST(row(1000, 1).verdict() == "ok");
}

// Guards against counting each event once per daemon.
BOOST_AUTO_TEST_CASE(TakesTheRowsOfTheDaemonThatHasReadFurthest) {
  std::vector<BurnReport> Reports{daemonReport("d1", 10, row(10, 0)),
                                  daemonReport("d2", 12, row(12, 1))};
  auto M = merge(Reports, {});
  BOOST_REQUIRE(M);
  BOOST_TEST(M->Newest.Rows[0].Windows[0].Good == 12u);
}

// Guards against a report that hides a missing host or a wrong clock.
BOOST_AUTO_TEST_CASE(NamesMissingDaemonsAndWarnsOfSkewedClocks) {
  BurnReport R = daemonReport("d1", 10, row(10, 0));
  R.SkewedRecords = 3;
  std::vector<BurnReport> Reports{R};
  std::vector<std::string> Missing{"127.0.0.1:9: refused"};
  std::string Table = renderTable(*merge(Reports, Missing));
  BOOST_TEST(Table.find("127.0.0.1:9") != std::string::npos);
  BOOST_TEST(Table.find("clocks") != std::string::npos);
  BOOST_TEST(!merge({}, Missing));
}

// Guards against counting the requests of one daemon twice.
BOOST_AUTO_TEST_CASE(CountsADaemonBehindTwoAddressesOnce) {
  std::vector<BurnReport> Reports{daemonReport("d1", 10, row(10, 0)),
                                  daemonReport("d1", 12, row(12, 1))};
  auto M = merge(Reports, {});
  BOOST_REQUIRE(M);
  BOOST_REQUIRE(M->Daemons.size() == 1u);
  BOOST_TEST(M->Daemons[0].Offset == 12u);
  BOOST_TEST(renderTable(*M).find("counted once") != std::string::npos);
}

// Guards against showing the figures of a diverged daemon as correct.
BOOST_AUTO_TEST_CASE(WarnsOfDaemonsThatDifferAtTheSameOffset) {
  std::vector<BurnReport> Reports{daemonReport("d1", 10, row(10, 0)),
                                  daemonReport("d2", 10, row(10, 1))};
  BOOST_TEST(renderTable(*merge(Reports, {})).find("different figures") !=
             std::string::npos);
  Reports[1] = daemonReport("d2", 10, row(10, 0));
  BOOST_TEST(merge(Reports, {})->Warnings.empty());
}

// Guards against showing latencies that are based on too few requests.
BOOST_AUTO_TEST_CASE(ShowsNoLatencyWithoutEnoughRequests) {
  BurnReport R = daemonReport("d1", 1, row(1, 0));
  auto TableWith = [&R](RequestFigures F) {
    R.Requests = F;
    return renderTable(*merge(std::vector<BurnReport>{R}, {}));
  };
  BOOST_TEST(TableWith({}).find("mean - ms, p99 - ms") != std::string::npos);
  BOOST_TEST(TableWith({999, 0, 2, 3, 4}).find("mean 2.00 ms, p99 - ms") !=
             std::string::npos);
  BOOST_TEST(TableWith({1000, 0, 2, 3, 4}).find("p99 3.00 ms") !=
             std::string::npos);
}

// Guards against figures that change when a report is encoded and parsed.
BOOST_AUTO_TEST_CASE(IsUnchangedAfterEncodingAndParsing) {
  BurnReport R = daemonReport("d1", 10, row(7, 3));
  R.Requests = RequestFigures{5, 1, 2.5, 4.5, 9};
  R.Usage = {{"maison", {3'600'000, 7, 2, 1}}};
  auto Again = parseReport(toJson(R));
  BOOST_REQUIRE(Again);
  BOOST_REQUIRE(Again->Usage.size() == 1u);
  BOOST_TEST(Again->Usage[0].Used.BorrowedSlotMs == 7);
  BOOST_TEST(Again->Usage[0].Used.Reclaimed == 2u);
  BOOST_TEST(Again->Rows[0].Windows[3].Bad == 3u);
  BOOST_TEST(Again->Requests->P99Ms == 4.5);
}

// Guards against account names that inject markup.
BOOST_AUTO_TEST_CASE(EscapesNamesInHtml) {
  std::vector<BurnReport> Reports{daemonReport("d1", 1, row(1, 0))};
  std::string Page = renderHtml(*merge(Reports, {}));
  BOOST_TEST(Page.find("maison-&lt;a&gt;") != std::string::npos);
  BOOST_TEST(Page.find("http") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestFiguresOfAProcess)

// Guards against errors and slow requests that are missing in the statistics.
BOOST_AUTO_TEST_CASE(CountErrorsAndShowSlowRequests) {
  RequestStats Stats;
  for (int I = 0; I < 1000; ++I)
    Stats.record(I < 980 ? 1.0 : 100.0, I % 100 == 0 ? 503 : 200);
  RequestFigures F = Stats.figures();
  BOOST_TEST(F.Requests == 1000u);
  BOOST_TEST(F.ServerErrors == 10u);
  BOOST_TEST(F.MaxMs == 100.0);
  BOOST_TEST(F.P99Ms > 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
