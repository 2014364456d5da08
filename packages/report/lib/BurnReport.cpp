// Builds, encodes and merges burn reports. Windows are measured on the
// state clock, so a daemon with a wrong wall clock reports the same figures.

#include "heathersaddle/report/BurnReport.h"
#include "heathersaddle/base/Json.h"
#include <algorithm>

namespace heathersaddle::report {

namespace json = boost::json;
using base::JsonReader;

namespace {

constexpr base::WallMs SkewWindowMs = 6 * 3'600'000;
/// A warning names each daemon that is further behind the newest one than this.
constexpr std::uint64_t LagWarningRecords = 1'000;
constexpr base::WallMs LagWarningMs = 30'000;
constexpr std::size_t MaxRows = 100'000;
constexpr std::size_t MaxNameBytes = 128;

bool bothWindowsExceed(const BurnRow &Row, std::size_t First, double Limit) {
  auto Short = Row.burn(First);
  auto Long = Row.burn(First + 1);
  return Short && Long && *Short > Limit && *Long > Limit;
}

void addRows(BurnReport &R, const state::State &S, std::string_view Account) {
  if (auto Found = S.usage().find(Account); Found != S.usage().end())
    R.Usage.push_back({std::string(Account), Found->second});
  for (std::size_t I = 0; I < state::ObjectiveCount; ++I) {
    auto O = static_cast<state::Objective>(I);
    BurnRow Row;
    Row.Account = Account;
    Row.Objective = name(O);
    Row.Target = state::target(O);
    for (std::size_t W = 0; W < WindowsMs.size(); ++W)
      Row.Windows[W] = S.burn().sum(Account, O, S.clock(), WindowsMs[W]);
    R.Rows.push_back(std::move(Row));
  }
}

json::value figuresToJson(const RequestFigures &F) {
  return {{"requests", F.Requests},
          {"server_errors", F.ServerErrors},
          {"mean_ms", F.MeanMs},
          {"p99_ms", F.P99Ms},
          {"max_ms", F.MaxMs}};
}

double number(const JsonReader &R, std::string_view Field) {
  const json::value *Value = R.find(Field);
  boost::system::error_code Ec;
  double Number = Value ? Value->to_number<double>(Ec) : 0;
  return Ec ? 0 : Number;
}

RequestFigures figuresFrom(const json::value &Value) {
  JsonReader R(Value, "read report", "requests.");
  RequestFigures F;
  F.Requests = R.unsigned64("requests");
  F.ServerErrors = R.unsigned64("server_errors");
  F.MeanMs = number(R, "mean_ms");
  F.P99Ms = number(R, "p99_ms");
  F.MaxMs = number(R, "max_ms");
  return F;
}

BurnRow rowFrom(const json::value &Value, JsonReader &Parent) {
  JsonReader R(Value, "read report", "rows.");
  BurnRow Row;
  Row.Account = R.string("account", MaxNameBytes);
  Row.Objective = R.string("objective", MaxNameBytes);
  Row.Target = number(R, "target");
  const json::array *Windows = R.array("windows", true, WindowsMs.size());
  if (Windows && Windows->size() == WindowsMs.size())
    for (std::size_t W = 0; W < WindowsMs.size(); ++W) {
      JsonReader Item((*Windows)[W], "read report", "windows.");
      Row.Windows[W] = {Item.unsigned64("good"), Item.unsigned64("bad")};
      if (const base::Error *E = Item.error())
        R.fail(E->Field, E->Message);
    }
  else
    R.fail("windows", "must have four items");
  if (Row.Target <= 0 || Row.Target >= 1)
    R.fail("target", "must lie between 0 and 1");
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return Row;
}

UsageRow usageFrom(const json::value &Value, JsonReader &Parent) {
  constexpr std::int64_t MaxSlotMs = std::int64_t{1} << 62;
  JsonReader R(Value, "read report", "usage.");
  UsageRow Row;
  Row.Account = R.string("account", MaxNameBytes);
  Row.Used.GuaranteedSlotMs = R.integer("guaranteed_slot_ms", 0, MaxSlotMs);
  Row.Used.BorrowedSlotMs = R.integer("borrowed_slot_ms", 0, MaxSlotMs);
  Row.Used.Reclaimed = R.unsigned64("reclaimed");
  Row.Used.ReclaimedFor = R.unsigned64("reclaimed_for");
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return Row;
}

/// Adds the report of a daemon; of two reports of one daemon, which two
/// addresses may reach, only one is kept, so that its requests are counted
/// once.
void addDaemon(MergedReport &M, const BurnReport &R) {
  auto Same =
      std::find_if(M.Daemons.begin(), M.Daemons.end(),
                   [&](const BurnReport &D) { return D.Daemon == R.Daemon; });
  if (Same == M.Daemons.end()) {
    M.Daemons.push_back(R);
    return;
  }
  M.Warnings.push_back("two addresses lead to daemon " + R.Daemon +
                       "; its figures are counted once");
  if (R.Offset > Same->Offset)
    *Same = R;
}

/// Warns of daemons with different rows at the same offset, which means that
/// one of them has derived a wrong state.
void warnOfDisagreement(MergedReport &M) {
  auto Derived = [](const BurnReport &R) {
    json::value Value = toJson(R);
    Value.as_object().erase("daemon");
    Value.as_object().erase("requests");
    return Value;
  };
  const json::value Wanted = Derived(M.Newest);
  for (const BurnReport &R : M.Daemons)
    if (R.Offset == M.Newest.Offset && Derived(R) != Wanted)
      M.Warnings.push_back(
          R.Daemon + " and " + M.Newest.Daemon +
          " give different figures at log offset " + std::to_string(R.Offset) +
          "; do not rely on either and report this as a fault");
}

void warnOfLag(MergedReport &M) {
  for (const BurnReport &R : M.Daemons) {
    std::uint64_t Records = M.Newest.Offset - R.Offset;
    if (Records > LagWarningRecords)
      M.Warnings.push_back(R.Daemon + " is " + std::to_string(Records) +
                           " records behind; its rows are not used");
    base::WallMs Lag = M.Newest.ClockMs - R.ClockMs;
    if (Lag > LagWarningMs)
      M.Warnings.push_back(R.Daemon + " has a state clock " +
                           std::to_string(Lag / 1000) + " s behind");
  }
}

} // namespace

std::optional<double> BurnRow::burn(std::size_t Window) const {
  const state::EventCounts &C = Windows[Window];
  if (C.Good + C.Bad == 0)
    return std::nullopt;
  double BadShare =
      static_cast<double>(C.Bad) / static_cast<double>(C.Good + C.Bad);
  return BadShare / (1 - Target);
}

std::optional<double> RequestFigures::mean() const {
  return Requests ? std::optional(MeanMs) : std::nullopt;
}

std::optional<double> RequestFigures::p99() const {
  return Requests >= P99MinRequests ? std::optional(P99Ms) : std::nullopt;
}

std::optional<double> BurnRow::budgetLeft() const {
  auto Burned = burn(WindowsMs.size() - 1);
  return Burned ? std::optional(1 - *Burned) : std::nullopt;
}

std::string_view BurnRow::verdict() const {
  if (!burn(WindowsMs.size() - 1))
    return "no events";
  if (bothWindowsExceed(*this, 0, FastBurn))
    return "fast";
  return bothWindowsExceed(*this, 2, SlowBurn) ? "slow" : "ok";
}

BurnReport buildReport(const state::State &S, std::string_view Daemon,
                       std::string_view Account) {
  BurnReport R;
  R.Daemon = Daemon;
  R.Offset = S.nextOffset();
  R.ClockMs = S.clock();
  R.SkewedRecords = S.burn().skewedRecords(S.clock(), SkewWindowMs);
  if (!Account.empty()) {
    addRows(R, S, Account);
    return R;
  }
  std::set<std::string, std::less<>> Names;
  for (const auto &[Name, C] : S.customers())
    Names.insert(Name);
  for (const auto &[Name, Used] : S.usage())
    Names.insert(Name);
  // Departed accounts are reported while they have events in the windows.
  for (const auto &[Name, Minutes] : S.burn().Accounts)
    Names.insert(Name);
  for (const std::string &Name : Names)
    addRows(R, S, Name);
  return R;
}

json::value toJson(const BurnReport &R) {
  json::array Rows;
  for (const BurnRow &Row : R.Rows) {
    json::array Windows;
    for (const state::EventCounts &C : Row.Windows)
      Windows.push_back({{"good", C.Good}, {"bad", C.Bad}});
    Rows.push_back({{"account", Row.Account},
                    {"objective", Row.Objective},
                    {"target", Row.Target},
                    {"windows", std::move(Windows)}});
  }
  json::array Usage;
  for (const UsageRow &Row : R.Usage)
    Usage.push_back({{"account", Row.Account},
                     {"guaranteed_slot_ms", Row.Used.GuaranteedSlotMs},
                     {"borrowed_slot_ms", Row.Used.BorrowedSlotMs},
                     {"reclaimed", Row.Used.Reclaimed},
                     {"reclaimed_for", Row.Used.ReclaimedFor}});
  json::object O{{"daemon", R.Daemon},      {"offset", R.Offset},
                 {"clock_ms", R.ClockMs},   {"skewed", R.SkewedRecords},
                 {"rows", std::move(Rows)}, {"usage", std::move(Usage)}};
  if (R.Requests)
    O["requests"] = figuresToJson(*R.Requests);
  return O;
}

base::Expected<BurnReport> parseReport(const json::value &Value) {
  JsonReader R(Value, "read report");
  BurnReport Report;
  Report.Daemon = R.string("daemon", MaxNameBytes);
  Report.Offset = R.unsigned64("offset");
  Report.ClockMs = R.integer("clock_ms", 0, std::int64_t{1} << 53);
  Report.SkewedRecords = R.unsigned64("skewed");
  const json::array *Rows = R.array("rows", true, MaxRows);
  for (std::size_t I = 0; Rows && I < Rows->size(); ++I)
    Report.Rows.push_back(rowFrom((*Rows)[I], R));
  // Daemons of an earlier version do not report the usage.
  const json::array *Usage = R.array("usage", false, MaxRows);
  for (std::size_t I = 0; Usage && I < Usage->size(); ++I)
    Report.Usage.push_back(usageFrom((*Usage)[I], R));
  if (const json::value *Requests = R.find("requests"))
    Report.Requests = figuresFrom(*Requests);
  if (const base::Error *E = R.error())
    return tl::unexpected(*E);
  return Report;
}

base::Expected<MergedReport> merge(std::span<const BurnReport> Reports,
                                   std::span<const std::string> Missing) {
  if (Reports.empty())
    return base::makeError(base::ErrorCode::Unavailable, "merge reports",
                           "no daemon gave a report");
  MergedReport M;
  for (const BurnReport &R : Reports)
    addDaemon(M, R);
  M.Missing.assign(Missing.begin(), Missing.end());
  M.Newest = *std::max_element(
      M.Daemons.begin(), M.Daemons.end(),
      [](const auto &A, const auto &B) { return A.Offset < B.Offset; });
  for (const std::string &Text : M.Missing)
    M.Warnings.push_back("no report from " + Text +
                         "; its request figures are missing, the objectives "
                         "are complete");
  warnOfLag(M);
  warnOfDisagreement(M);
  if (M.Newest.SkewedRecords != 0)
    M.Warnings.push_back(std::to_string(M.Newest.SkewedRecords) +
                         " records of the last 6 h came from clocks that are "
                         "off by more than 1 s; urgent_start and deadline may "
                         "be off by as much");
  return M;
}

} // namespace heathersaddle::report
