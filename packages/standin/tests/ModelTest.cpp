#define BOOST_TEST_MODULE standin
#include "heathersaddle/standin/LogModel.h"
#include "heathersaddle/standin/WorkerModel.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::standin;
namespace json = boost::json;
using base::Millis;

namespace {

struct Fixture {
  WorkerModel Worker{
      {.Slots = 8, .UsagePeriod = Millis{0}}, 7, [](const TaskRequest &R) {
        return TaskOutcome{Millis{1000}, R.Kind != "bad",
                           "answer of " + R.Input};
      }};

  WorkerReply sync(std::uint64_t Epoch, int Now, int LeaseUntil,
                   std::uint64_t After = 0) {
    return Worker.sync({{"cell", "c"},
                        {"epoch", Epoch},
                        {"owner", "d"},
                        {"lease_until_ms", LeaseUntil},
                        {"after", After},
                        {"wait_ms", 0},
                        {"full", true}},
                       Millis{Now});
  }
  /// The result's code, or "ok", or the status when the request failed.
  std::string send(int Now, std::string_view Op, std::string_view Job,
                   int Tasks = 1, std::string_view Slots = "1",
                   std::uint64_t Epoch = 1) {
    json::object C{{"op", Op},       {"job", Job},     {"attempt", 1},
                   {"task", 0},      {"tasks", Tasks}, {"slots", Slots},
                   {"kind", "good"}, {"input", Job}};
    WorkerReply R = Worker.commands({{"cell", "c"},
                                     {"epoch", Epoch},
                                     {"owner", "d"},
                                     {"commands", json::array{C}}},
                                    Millis{Now});
    if (R.Status != 200)
      return std::to_string(R.Status);
    const json::value &Result = R.Body.at("results").at(0);
    return Result.at("ok").as_bool()
               ? "ok"
               : std::string(Result.at("code").as_string());
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LogModelTest)

// Guards against a model that drops the records of an append whose answer is
// lost, so that tests could not tell a lost answer from a lost append.
BOOST_AUTO_TEST_CASE(LostAnswerKeepsAppendedRecords) {
  LogModel L;
  std::vector<std::string> Batch{"a", "b"};
  L.faults().LoseAnswers = true;
  auto Lost = L.append("control", Batch, 1);
  BOOST_REQUIRE(!Lost);
  BOOST_TEST((Lost.error().Code == base::ErrorCode::Unresolved));
  L.faults() = {.Down = true};
  BOOST_TEST(!L.append("control", Batch, 2));
  L.faults() = {};
  BOOST_TEST(L.append("control", Batch, 3).value() == 2u);
}

// Guards against a read below the oldest offset that hides the trimming.
BOOST_AUTO_TEST_CASE(ReadBelowOldestOffsetIsReportedAsTrimmed) {
  LogModel L;
  for (int I = 0; I != 4; ++I)
    BOOST_REQUIRE(L.append("control", std::vector<std::string>{"r"}, I));
  L.trimOlderThan("control", 2);
  auto Page = L.read("control", 1, 10);
  BOOST_REQUIRE(Page);
  BOOST_TEST(Page->Trimmed);
  BOOST_TEST(Page->Oldest == 2u);
  BOOST_TEST(L.read("control", 2, 1)->Records.size() == 1u);
  L.trimBefore("control", 9);
  BOOST_TEST(L.read("control", 4, 1)->Next == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WorkerModelTest, Fixture)

// Guards against a superseded owner that still starts tasks.
BOOST_AUTO_TEST_CASE(LowerEpochIsRefused) {
  sync(2, 0, 10'000);
  BOOST_TEST(send(1, "start", "j", 1, "1", 1) == "409");
  BOOST_TEST(sync(1, 2, 99'000).Body.at("epoch").to_number<int>() == 2);
  BOOST_TEST(Worker.audit().empty());
}

// Guards against a task that runs without a lease or after its expiry.
BOOST_AUTO_TEST_CASE(LeaseExpiryStopsAllTasks) {
  BOOST_TEST(send(0, "start", "j") == "busy");
  sync(1, 1, 500);
  BOOST_TEST(send(2, "start", "j") == "ok");
  Worker.advance(Millis{5000});
  BOOST_REQUIRE(Worker.audit().size() == 1u);
  BOOST_TEST(Worker.audit()[0].Ended->count() == 500);
  BOOST_TEST((Worker.audit()[0].Reason == EndReason::LeaseExpired));
  sync(1, 5001, 9000);
  BOOST_TEST(send(5002, "start", "j") == "stopped");
}

// Guards against a paused worker that continues its tasks when it resumes
// after the lease has expired.
BOOST_AUTO_TEST_CASE(ResumeAfterLeaseExpiryStopsTasks) {
  sync(1, 0, 5000);
  send(100, "start", "j");
  Worker.pause(Millis{200});
  Worker.advance(Millis{6000});
  BOOST_TEST(!Worker.audit()[0].Ended);
  Worker.resume(Millis{6000});
  BOOST_TEST((Worker.audit()[0].Reason == EndReason::LeaseExpired));
}

// Guards against a start command that is delivered after the attempt's stop
// and still runs the task.
BOOST_AUTO_TEST_CASE(StartAfterStopOfUnknownAttemptIsRefused) {
  sync(1, 0, 10'000);
  BOOST_TEST(send(1, "stop", "j") == "ok");
  BOOST_TEST(send(2, "start", "j") == "stopped");
}

// Guards against a gang member that starts without a reservation, two tasks
// on one slot, and a repeated start that runs a task twice.
BOOST_AUTO_TEST_CASE(GangStartRequiresReservation) {
  sync(1, 0, 10'000);
  BOOST_TEST(send(1, "start", "g", 2) == "not_reserved");
  BOOST_TEST(send(2, "reserve", "g", 2, "3") == "ok");
  BOOST_TEST(send(3, "start", "j", 1, "2") == "busy");
  BOOST_TEST(send(4, "start", "g", 2, "3") == "ok");
  Worker.advance(Millis{2000});
  BOOST_TEST(send(2001, "start", "g", 2, "3") == "ok");
  BOOST_TEST(Worker.audit().size() == 1u);
}

// Guards against losing a task's answer before the owner has acknowledged it.
BOOST_AUTO_TEST_CASE(EventsAreKeptUntilAcknowledged) {
  sync(1, 0, 10'000);
  send(1, "start", "j");
  auto Seen = sync(1, 2000, 10'000).Body;
  BOOST_REQUIRE(Seen.at("events").as_array().size() == 2u);
  BOOST_TEST(Seen.at("events").at(1).at("answer").as_string() == "answer of j");
  BOOST_TEST(sync(1, 2001, 0, 1).Body.at("events").as_array().size() == 1u);
  BOOST_TEST(sync(1, 2002, 0, 2).Body.at("events").as_array().empty());
  BOOST_TEST(Seen.at("tasks").at(0).at("state").as_string() == "finished");
  Worker.restart(8, Millis{3000});
  BOOST_TEST(sync(1, 3001, 0).Body.at("boot").to_number<int>() == 8);
}

// Guards against usage reports that end a waiting sync once per task and
// period.
BOOST_AUTO_TEST_CASE(UsageReportsDoNotEndWaitingSync) {
  WorkerModel Busy({.Slots = 8, .UsagePeriod = Millis{1000}}, 7,
                   [](const TaskRequest &) {
                     return TaskOutcome{Millis{1'000'000}, true, ""};
                   });
  json::object Ask{{"cell", "c"},
                   {"epoch", 1},
                   {"owner", "d"},
                   {"after", 0},
                   {"wait_ms", 60'000},
                   {"usage_ms", 10'000},
                   {"lease_until_ms", 90'000}};
  Busy.sync(Ask, Millis{0});
  json::object Start{{"op", "start"}, {"job", "j"},     {"attempt", 1},
                     {"task", 0},     {"tasks", 1},     {"slots", "1"},
                     {"kind", "any"}, {"input", "text"}};
  Busy.commands({{"cell", "c"},
                 {"epoch", 1},
                 {"owner", "d"},
                 {"commands", json::array{Start}}},
                Millis{0});
  auto Events = [&](int Now) {
    return Busy.sync(Ask, Millis{Now}).Body.at("events").as_array().size();
  };
  Ask["after"] = 1; // Acknowledges the "started" event.
  BOOST_TEST(Events(9'000) == 0U);
  BOOST_TEST(Events(11'000) == 1U);
  BOOST_TEST(Busy.shouldWait(Ask));
}

BOOST_AUTO_TEST_SUITE_END()
