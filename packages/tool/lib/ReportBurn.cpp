// Queries every daemon once, because waiting for an unreachable daemon would
// delay the report, and the objectives are complete without it. The rows come
// from the log; the tool's own clock is not used.

#include "Remote.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/report/BurnReport.h"
#include "heathersaddle/tool/Render.h"
#include <algorithm>

namespace heathersaddle::tool {

namespace json = boost::json;

namespace {

/// The answers of all daemons.
struct CollectedReports {
  std::vector<report::BurnReport> Reports;
  std::vector<std::string> Missing; ///< "ADDRESS: REASON".
  std::size_t TokenRefusals = 0;    ///< Answers with 401 or 403.
};

std::string reasonOf(const CallResult &R) {
  if (!R.Reply)
    return R.Failure.empty() ? "no answer" : R.Failure;
  std::string Text = "status " + std::to_string(R.Reply->Status);
  const json::value Body = bodyOf(*R.Reply);
  const json::object *O = Body.if_object();
  const json::value *Error = O ? O->if_contains("error") : nullptr;
  const json::object *Fields = Error ? Error->if_object() : nullptr;
  const json::value *Message =
      Fields ? Fields->if_contains("message") : nullptr;
  if (Message && Message->is_string())
    Text += ", " + std::string(Message->as_string());
  return Text;
}

void addReport(CollectedReports &All, const CallResult &R) {
  if (!R.succeeded()) {
    All.Missing.push_back(R.Server + ": " + reasonOf(R));
    if (R.Reply && (R.Reply->Status == 401 || R.Reply->Status == 403))
      ++All.TokenRefusals;
    return;
  }
  auto Body = base::parseJson(R.Reply->Body, "read report");
  auto Report =
      Body ? report::parseReport(*Body)
           : base::Expected<report::BurnReport>(tl::unexpected(Body.error()));
  if (Report)
    All.Reports.push_back(*std::move(Report));
  else
    All.Missing.push_back(R.Server + ": its answer is no burn report (" +
                          Report.error().Field + " " + Report.error().Message +
                          ")");
}

CommandResult noReport(const Invocation &I, const CollectedReports &All) {
  bool Refused = All.TokenRefusals > 0;
  json::array Missing(All.Missing.begin(), All.Missing.end());
  json::object Error{
      {"code", Refused ? "refused" : "unavailable"},
      {"message", Refused ? "the token was refused; there are no figures"
                          : "no daemon gave a report; there are no figures"},
      {"missing", std::move(Missing)}};
  return failure(I, Refused ? ExitCode::Refused : ExitCode::Unavailable,
                 json::object{{"error", std::move(Error)}});
}

} // namespace

CommandResult reportBurn(const Invocation &I, const CommandContext &C) {
  CollectedReports All;
  for (const CallResult &R :
       C.ServerCaller->callEach(makeCall(I, "GET", "/v1/report/burn")))
    addReport(All, R);
  auto Merged = report::merge(All.Reports, All.Missing);
  if (!Merged)
    return noReport(I, All);
  CommandResult Result;
  Result.Out = I.Format == Output::Json
                   ? renderJson(report::toJson(*Merged))
                   : printable(report::renderTable(*Merged));
  if (!All.Missing.empty())
    Result.Code = ExitCode::Incomplete;
  if (I.HtmlFile.empty())
    return Result;
  if (auto Done = C.WriteFile(I.HtmlFile, report::renderHtml(*Merged)); !Done) {
    Result.Code = ExitCode::NotWritten;
    Result.Err = "heathersaddle: " + Done.error().toString() + "\n";
  }
  return Result;
}

} // namespace heathersaddle::tool
