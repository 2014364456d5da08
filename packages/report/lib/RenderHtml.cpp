// One HTML page with inline SVG bars: the burn rate by window for each
// objective, on a scale that ends at MaxBarBurnRate. All input text is escaped.

#include "heathersaddle/report/BurnReport.h"
#include <algorithm>
#include <cstdio>

namespace heathersaddle::report {

namespace {

/// Burn rate at the full length of a bar.
constexpr double MaxBarBurnRate = 20;
constexpr double MaxBarPixels = 160;
constexpr unsigned RowPixels = 12;

std::string escape(std::string_view Text) {
  std::string Out;
  for (char C : Text) {
    switch (C) {
    case '&':
      Out += "&amp;";
      break;
    case '<':
      Out += "&lt;";
      break;
    case '>':
      Out += "&gt;";
      break;
    case '"':
      Out += "&quot;";
      break;
    default:
      Out += C;
    }
  }
  return Out;
}

std::string decimal(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.2f", Value);
  return Text;
}

std::string colour(double Burn) {
  if (Burn > FastBurn)
    return "#b3261e";
  return Burn > SlowBurn ? "#c77700" : "#2e7d32";
}

std::string bars(const BurnRow &Row) {
  unsigned Height = RowPixels * static_cast<unsigned>(WindowsMs.size());
  std::string Svg = "<svg width=\"260\" height=\"" + std::to_string(Height) +
                    "\" role=\"img\">";
  for (std::size_t W = 0; W < WindowsMs.size(); ++W) {
    std::string Y = std::to_string(W * RowPixels);
    std::string TextY = std::to_string(W * RowPixels + 9);
    auto Burn = Row.burn(W);
    double Length =
        Burn ? std::min(*Burn, MaxBarBurnRate) / MaxBarBurnRate * MaxBarPixels
             : 0;
    Svg += "<text x=\"0\" y=\"" + TextY + "\">" + std::string(WindowNames[W]) +
           "</text><rect x=\"24\" y=\"" + Y + "\" height=\"9\" width=\"" +
           decimal(std::max(Length, 1.0)) + "\" fill=\"" +
           colour(Burn.value_or(0)) + "\"/><text x=\"190\" y=\"" + TextY +
           "\">" + (Burn ? decimal(*Burn) : "no events") + "</text>";
  }
  return Svg + "</svg>";
}

std::string usageTable(const std::vector<UsageRow> &Usage) {
  if (Usage.empty())
    return "";
  constexpr double HourMs = 3'600'000;
  std::string Text = "<h2>Usage</h2><table><tr><th>Account<th>Guaranteed, slot "
                     "hours<th>Borrowed, slot hours<th>Reclaimed from it<th>"
                     "Reclaimed for it</tr>";
  for (const UsageRow &Row : Usage)
    Text += "<tr><td>" + escape(Row.Account) + "<td>" +
            decimal(static_cast<double>(Row.Used.GuaranteedSlotMs) / HourMs) +
            "<td>" +
            decimal(static_cast<double>(Row.Used.BorrowedSlotMs) / HourMs) +
            "<td>" + std::to_string(Row.Used.Reclaimed) + "<td>" +
            std::to_string(Row.Used.ReclaimedFor) + "</tr>";
  return Text + "</table>";
}

} // namespace

std::string renderHtml(const MergedReport &M) {
  std::string Page =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
      "<title>Service-level burn</title><style>"
      "body{font:14px sans-serif;margin:2em}td,th{padding:4px 12px;"
      "text-align:left;border-bottom:1px solid #ddd}svg{font:10px sans-serif}"
      ".fast{color:#b3261e;font-weight:bold}.slow{color:#c77700}"
      "</style><h1>Service-level burn</h1><p>Log offset " +
      std::to_string(M.Newest.Offset) + ", " +
      std::to_string(M.Daemons.size()) + " daemons reported, " +
      std::to_string(M.Missing.size()) + " did not.</p>";
  for (const std::string &Warning : M.Warnings)
    Page += "<p class=\"slow\">Warning: " + escape(Warning) + "</p>";
  Page += "<table><tr><th>Account<th>Objective<th>Target<th>Burn rate"
          "<th>Budget left (3 d)<th>Verdict</tr>";
  for (const BurnRow &Row : M.Newest.Rows) {
    auto Left = Row.budgetLeft();
    std::string Verdict(Row.verdict());
    Page += "<tr><td>" + escape(Row.Account) + "<td>" + escape(Row.Objective) +
            "<td>" + decimal(Row.Target * 100) + "%<td>" + bars(Row) + "<td>" +
            (Left ? decimal(*Left * 100) + "%" : "no events") + "<td class=\"" +
            Verdict + "\">" + Verdict + "</tr>";
  }
  return Page + "</table>" + usageTable(M.Newest.Usage) + "</html>\n";
}

} // namespace heathersaddle::report
