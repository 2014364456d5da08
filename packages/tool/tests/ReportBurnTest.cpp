#include "ScriptedServers.h"
#include "heathersaddle/report/BurnReport.h"
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::tool;

namespace {

struct BurnFixture : Fixture {
  BurnFixture() { Args.Command = Verb::ReportBurn; }

  static report::BurnReport reportOf(const std::string &Daemon,
                                     std::uint64_t Offset, std::uint64_t Bad) {
    report::BurnReport R;
    R.Daemon = Daemon;
    R.Offset = Offset;
    R.ClockMs = 1'000'000;
    report::BurnRow Row;
    Row.Account = "maison";
    Row.Objective = "urgent_start";
    Row.Target = 0.99;
    Row.Windows.fill({Bad ? 100 - Bad : 0, Bad});
    R.Rows.push_back(Row);
    return R;
  }
  static base::Expected<HttpReply> reportReply(const report::BurnReport &R) {
    return reply(200, boost::json::serialize(report::toJson(R)));
  }
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BurnReporting)

// Guards against querying only the first daemon, and against an unreachable
// daemon that is not reported or delays the report by retries.
BOOST_FIXTURE_TEST_CASE(MissingDaemonIsNamedWithReason, BurnFixture) {
  auto R = run({reportReply(reportOf("d1", 5, 1)), refused()});
  BOOST_TEST((R.Code == ExitCode::Incomplete));
  BOOST_TEST(contains(R.Out, "no report from b:2: refused"));
  BOOST_TEST(contains(R.Out, "maison"));
  BOOST_TEST(Sent.size() == 2U);
  R = run({reply(503, R"({"error":{"message":"not ready"}})"),
           reportReply(reportOf("d2", 5, 1))});
  BOOST_TEST(contains(R.Out, "a:1: status 503, not ready"));
  R = run({reportReply(reportOf("d1", 5, 1)), reply(200, "<html>")});
  BOOST_TEST(contains(R.Out, "b:2: its answer is no burn report"));
}

// Guards against showing a window without events like one without errors.
BOOST_FIXTURE_TEST_CASE(WindowWithoutEventsSaysSo, BurnFixture) {
  auto R = run(
      {reportReply(reportOf("d1", 5, 0)), reportReply(reportOf("d2", 5, 0))});
  BOOST_TEST((R.Code == ExitCode::Done));
  BOOST_TEST(contains(R.Out, "no events in the last 3 days"));
  BOOST_TEST(!contains(R.Out, "0.00"));
  BOOST_TEST(!contains(R.Out, "warning"));
}

// Guards against using the rows of a lagging daemon, and against omitting the
// warning about clocks that make the figures imprecise.
BOOST_FIXTURE_TEST_CASE(LaggingDaemonIsReportedAndNewestRowsAreUsed,
                        BurnFixture) {
  auto Behind = reportOf("d1", 5, 100);
  Behind.ClockMs -= 90'000;
  auto Ahead = reportOf("d2", 9, 1);
  Ahead.SkewedRecords = 4;
  auto R = run({reportReply(Behind), reportReply(Ahead)});
  BOOST_TEST(contains(R.Out, "d1 has a state clock 90 s behind"));
  BOOST_TEST(contains(R.Out, "4 records of the last 6 h"));
  BOOST_TEST(contains(R.Out, "1.00"));
  BOOST_TEST(!contains(R.Out, "100.00"));
}

// Guards against printing figures or reporting success when no daemon answered.
BOOST_FIXTURE_TEST_CASE(NoDaemonAnswersGivesErrorWithoutFigures, BurnFixture) {
  auto R = run({refused()});
  BOOST_TEST((R.Code == ExitCode::Unavailable));
  BOOST_TEST(R.Out.empty());
  BOOST_TEST(contains(R.Err, "no daemon gave a report"));
  R = run({reply(401), refused()});
  BOOST_TEST((R.Code == ExitCode::Refused));
}

// Guards against an HTML page or JSON that differs from the table.
BOOST_FIXTURE_TEST_CASE(JsonAndHtmlHaveSameRows, BurnFixture) {
  Args.Format = Output::Json;
  Args.HtmlFile = "burn.html";
  Servers = {"a:1", "a:1"};
  auto R = run({reportReply(reportOf("d1", 5, 1))});
  auto Body = boost::json::parse(R.Out);
  BOOST_TEST(Body.at("rows").at(0).at("burn_5m").as_double() > 0.9);
  BOOST_TEST(Body.at("daemons").as_array().size() == 1U);
  BOOST_TEST(contains(WrittenFiles["burn.html"], "maison"));
  BOOST_TEST(Sent.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
