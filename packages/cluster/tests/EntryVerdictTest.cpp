#include "EntryVerdict.h"
#include <boost/test/unit_test.hpp>
#include <map>

using namespace heathersaddle::cluster;

BOOST_AUTO_TEST_SUITE(EntriesOfTheRegistry)

namespace {

WorkerEntry own() {
  WorkerEntry E;
  E.Id = "w";
  E.Address = "w:1";
  E.Service = "service";
  E.DataCentre = "z";
  E.Rack = "r1";
  E.Labels = {"a", "r1"};
  E.Capacity = {64'000, 256'000, 8};
  E.ProcessStartMs = 7;
  return E;
}

constexpr std::int64_t Huge = std::int64_t{1} << 53;

} // namespace

// Guards against an entry of another writer that changes what is believed of a
// worker at work: each field with each value that it can have after decoding.
BOOST_AUTO_TEST_CASE(OnlyWhatAWorkerChangesIsTakenWithinAnIncarnation) {
  const std::string Long(1'000'000, 'x');
  struct Row {
    std::string Name;
    WorkerEntry Entry;
    EntryVerdict AtWork;
    EntryVerdict Unconfirmed;
  };
  std::vector<Row> Rows;
  auto Add = [&](const std::string &Name, auto Change, EntryVerdict AtWork,
                 EntryVerdict Unconfirmed) {
    WorkerEntry E = own();
    Change(E);
    Rows.push_back({Name, std::move(E), AtWork, Unconfirmed});
  };
  using enum EntryVerdict;
  Add(
      "unchanged", [](WorkerEntry &) {}, Describes, Describes);
  for (const std::string &Text : {std::string("x"), std::string("NaN"), Long}) {
    Add(
        "service", [&](WorkerEntry &E) { E.Service = Text; }, Ignored,
        Describes);
    Add(
        "address", [&](WorkerEntry &E) { E.Address = Text; }, Ignored,
        Describes);
    Add(
        "zone", [&](WorkerEntry &E) { E.DataCentre = Text; }, Ignored,
        Describes);
    Add(
        "kind", [&](WorkerEntry &E) { E.Labels[0] = Text; }, Ignored,
        Describes);
    Add(
        "rack", [&](WorkerEntry &E) { E.Labels[1] = Text; }, Ignored,
        Describes);
  }
  Add(
      "no address", [](WorkerEntry &E) { E.Address = ""; }, Ignored, Ignored);
  Add(
      "no labels", [](WorkerEntry &E) { E.Labels.clear(); }, Ignored,
      Describes);
  Add(
      "more labels", [](WorkerEntry &E) { E.Labels.emplace_back("x"); },
      Ignored, Describes);
  for (std::int64_t Number : {std::int64_t{0}, std::int64_t{-1}, -Huge})
    Add(
        "start time", [=](WorkerEntry &E) { E.ProcessStartMs = Number; },
        Ignored, Ignored);
  for (std::int64_t Number : {std::int64_t{6}, std::int64_t{8}, Huge})
    Add(
        "start time", [=](WorkerEntry &E) { E.ProcessStartMs = Number; },
        OtherIncarnation, OtherIncarnation);
  Add(
      "other start and address",
      [](WorkerEntry &E) {
        E.ProcessStartMs = 8;
        E.Address = "x:1";
      },
      OtherIncarnation, OtherIncarnation);
  for (std::int64_t Number : {std::int64_t{0}, std::int64_t{1}, Huge}) {
    Add(
        "capacity", [=](WorkerEntry &E) { E.Capacity.Gpus = Number; },
        Describes, Describes);
    Add(
        "notice", [=](WorkerEntry &E) { E.LeavesInMs = Number; }, Describes,
        Describes);
    Add(
        "warm-up", [=](WorkerEntry &E) { E.WarmupLeftMs = Number; }, Describes,
        Describes);
  }
  Add(
      "draining", [](WorkerEntry &E) { E.Draining = true; }, Describes,
      Describes);
  const WorkerEntry Known = own();
  for (const Row &R : Rows) {
    BOOST_TEST((judgeEntry(R.Entry, {Known, true, true}, true) == R.AtWork),
               R.Name);
    BOOST_TEST(
        (judgeEntry(R.Entry, {Known, true, false}, true) == R.Unconfirmed),
        R.Name);
    BOOST_TEST(
        (judgeEntry(R.Entry, {Known, false, false}, true) == R.Unconfirmed),
        R.Name);
    BOOST_TEST((judgeEntry(R.Entry, {Known, true, true}, false) == Ignored),
               R.Name);
    WorkerEntry Unknown;
    BOOST_TEST((judgeEntry(R.Entry, {Unknown, false, false}, true) ==
                (R.Unconfirmed == Ignored ? Ignored : Describes)),
               R.Name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
