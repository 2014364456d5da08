// Renders the report as a table for a terminal and as JSON for programs. A
// window without events is shown as "-" or null, never as 0.

#include "heathersaddle/report/BurnReport.h"
#include <algorithm>
#include <cstdio>

namespace heathersaddle::report {

namespace json = boost::json;

namespace {

std::string decimal(std::optional<double> Value, const char *Format) {
  if (!Value)
    return "-";
  char Text[32];
  std::snprintf(Text, sizeof Text, Format, *Value);
  return Text;
}

std::string column(std::string_view Text, std::size_t Width) {
  std::string Cell(Text);
  Cell.resize(std::max(Width, Cell.size()), ' ');
  return Cell + "  ";
}

std::string slotHours(std::int64_t SlotMs) {
  return decimal(static_cast<double>(SlotMs) / 3'600'000, "%.2f");
}

std::string usageTable(const std::vector<UsageRow> &Usage) {
  if (Usage.empty())
    return "";
  std::string Text = column("ACCOUNT", 20) + column("GUARANTEED SLOT H", 17) +
                     column("BORROWED SLOT H", 15) + column("RECLAIMED", 9) +
                     "RECLAIMED FOR IT\n";
  for (const UsageRow &Row : Usage)
    Text += column(Row.Account, 20) +
            column(slotHours(Row.Used.GuaranteedSlotMs), 17) +
            column(slotHours(Row.Used.BorrowedSlotMs), 15) +
            column(std::to_string(Row.Used.Reclaimed), 9) +
            std::to_string(Row.Used.ReclaimedFor) + "\n";
  return Text;
}

std::string requestLine(const BurnReport &R) {
  if (!R.Requests)
    return "";
  const RequestFigures &F = *R.Requests;
  return "daemon " + R.Daemon + ": " + std::to_string(F.Requests) +
         " requests, " + std::to_string(F.ServerErrors) +
         " server errors, mean " + decimal(F.mean(), "%.2f") + " ms, p99 " +
         decimal(F.p99(), "%.2f") + " ms\n";
}

bool hasEvents(const MergedReport &M) {
  return std::any_of(
      M.Newest.Rows.begin(), M.Newest.Rows.end(),
      [](const BurnRow &Row) { return Row.verdict() != "no events"; });
}

json::value orNull(std::optional<double> Value) {
  return Value ? json::value(*Value) : json::value(nullptr);
}

} // namespace

std::string renderTable(const MergedReport &M) {
  std::string Text =
      column("ACCOUNT", 20) + column("OBJECTIVE", 12) + column("TARGET", 6);
  for (std::string_view Window : WindowNames)
    Text += column("BURN " + std::string(Window), 8);
  Text += column("BUDGET LEFT", 11) + "VERDICT\n";
  for (const BurnRow &Row : M.Newest.Rows) {
    Text += column(Row.Account, 20) + column(Row.Objective, 12) +
            column(decimal(Row.Target * 100, "%.1f%%"), 6);
    for (std::size_t W = 0; W < WindowsMs.size(); ++W)
      Text += column(decimal(Row.burn(W), "%.2f"), 8);
    auto Left = Row.budgetLeft();
    Text += column(Left ? decimal(*Left * 100, "%.1f%%") : "-", 11) +
            std::string(Row.verdict()) + "\n";
  }
  if (!hasEvents(M))
    Text += "no events in the last 3 days: no objective can be evaluated\n";
  Text += usageTable(M.Newest.Usage);
  for (const BurnReport &R : M.Daemons)
    Text += requestLine(R);
  for (const std::string &Warning : M.Warnings)
    Text += "warning: " + Warning + "\n";
  return Text;
}

json::value toJson(const MergedReport &M) {
  json::array Rows, Daemons, Missing, Warnings;
  for (const BurnRow &Row : M.Newest.Rows) {
    json::object Item{{"account", Row.Account},
                      {"objective", Row.Objective},
                      {"target", Row.Target},
                      {"verdict", Row.verdict()},
                      {"budget_left", orNull(Row.budgetLeft())}};
    for (std::size_t W = 0; W < WindowsMs.size(); ++W)
      Item["burn_" + std::string(WindowNames[W])] = orNull(Row.burn(W));
    Rows.push_back(std::move(Item));
  }
  for (const BurnReport &R : M.Daemons) {
    json::value Daemon = toJson(R);
    Daemon.as_object().erase("rows");
    Daemon.as_object().erase("usage");
    if (R.Requests) {
      json::object &Figures = Daemon.as_object()["requests"].as_object();
      Figures["mean_ms"] = orNull(R.Requests->mean());
      Figures["p99_ms"] = orNull(R.Requests->p99());
    }
    Daemons.push_back(std::move(Daemon));
  }
  for (const std::string &Text : M.Missing)
    Missing.push_back(json::value(Text));
  for (const std::string &Text : M.Warnings)
    Warnings.push_back(json::value(Text));
  json::value Usage = toJson(M.Newest).at("usage");
  return {{"offset", M.Newest.Offset},      {"clock_ms", M.Newest.ClockMs},
          {"rows", std::move(Rows)},        {"usage", std::move(Usage)},
          {"daemons", std::move(Daemons)},  {"missing", std::move(Missing)},
          {"warnings", std::move(Warnings)}};
}

} // namespace heathersaddle::report
