// Every command converts the server's answer into output and an exit code. The
// exit code of a job's outcome comes only from a server's answer; when no
// server gives a definite answer, the code is Unavailable or Unresolved.

#include "heathersaddle/tool/Commands.h"
#include "Remote.h"
#include <algorithm>
#include <boost/json/serialize.hpp>

namespace heathersaddle::tool {

namespace json = boost::json;

namespace {

constexpr base::Millis MaxPollWait{20'000};
constexpr base::Millis PollTimeoutMargin{5'000};
// Between polls, for a server that answers before the requested wait is over.
constexpr base::Millis PollInterval{100};

CommandResult read(const Invocation &I, const CommandContext &C,
                   const std::string &Target) {
  CallResult R = C.ServerCaller->call(makeCall(I, "GET", Target));
  if (!R.succeeded())
    return failedCall(I, R, true, "");
  return {ExitCode::Done, render(I, bodyOf(*R.Reply)), ""};
}

ExitCode outcomeCode(const json::value &Body) {
  const std::string Outcome = textField(Body, "outcome");
  if (Outcome == "finished")
    return ExitCode::Done;
  if (Outcome == "failed")
    return ExitCode::JobFailed;
  if (Outcome == "cancelled")
    return ExitCode::JobCancelled;
  if (Outcome == "not_run")
    return ExitCode::JobNotRun;
  if (Outcome == "unknown")
    return ExitCode::JobUnknown;
  return ExitCode::NotEnded;
}

bool transient(const CallResult &R) {
  return !R.Reply || R.Reply->Status >= 500 || R.Reply->Status == 429;
}

/// Polls until the job has ended or the time limit has passed. Reads are
/// repeated during outages, because a read has no effect.
CommandResult waitForJob(const Invocation &I, const CommandContext &C,
                         const std::string &Job) {
  const base::Millis End = C.MonoNow() + I.TimeLimit;
  for (;;) {
    base::Millis Left = std::max(End - C.MonoNow(), base::Millis(0));
    base::Millis Poll = std::min(Left, MaxPollWait);
    HttpCall Call = makeCall(I, "GET",
                             "/v1/jobs/" + Job +
                                 "?wait_ms=" + std::to_string(Poll.count()));
    Call.TimeLimit = Poll + PollTimeoutMargin;
    CallResult R = C.ServerCaller->call(Call);
    bool TimedOut = C.MonoNow() >= End;
    if (R.succeeded()) {
      json::value Body = bodyOf(*R.Reply);
      ExitCode Code = outcomeCode(Body);
      if (Code != ExitCode::NotEnded || TimedOut)
        return {Code, render(I, Body), ""};
    } else if (TimedOut || !transient(R)) {
      return failedCall(I, R, true, "");
    }
    C.Sleep(PollInterval);
  }
}

json::object submitBody(const SubmitArguments &S) {
  json::object Shape{{"tasks", S.Tasks},
                     {"accelerators", S.Accelerators},
                     {"within", S.Within}};
  if (S.Slots)
    Shape["slots"] = S.Slots;
  json::object Body{{"shape", std::move(Shape)},
                    {"kind", S.Kind},
                    {"input", S.Input},
                    {"idempotent", S.Idempotent},
                    {"urgent", S.Urgent}};
  if (S.DeadlineMs)
    Body["deadline_ms"] = S.DeadlineMs;
  if (S.RunTimeMs)
    Body["run_time_ms"] = S.RunTimeMs;
  if (S.Cores)
    Body["cores"] = S.Cores;
  if (S.MemoryMb)
    Body["memory_mb"] = S.MemoryMb;
  return Body;
}

CommandResult submit(const Invocation &I, const CommandContext &C) {
  const std::string Key = I.Submit.Key.empty() ? C.NewKey() : I.Submit.Key;
  HttpCall Call = makeCall(I, "POST", "/v1/jobs");
  Call.Headers["idempotency-key"] = Key;
  Call.Headers["content-type"] = "application/json";
  Call.Body = json::serialize(submitBody(I.Submit));
  CallResult R = C.ServerCaller->call(Call);
  if (!R.succeeded())
    return failedCall(I, R, false, Key);
  json::value Body = bodyOf(*R.Reply);
  const std::string Job = textField(Body, "job");
  if (Job.empty()) {
    R.MayHaveTakenEffect = true;
    return failedCall(I, R, false, Key);
  }
  if (I.Submit.WaitForEnd)
    return waitForJob(I, C, Job);
  Body.as_object()["key"] = Key;
  return {ExitCode::Done, render(I, Body), ""};
}

/// Cancellation is idempotent, so the call needs no idempotency key.
CommandResult cancel(const Invocation &I, const CommandContext &C) {
  CallResult R = C.ServerCaller->call(
      makeCall(I, "POST", "/v1/jobs/" + I.Job + "/cancel"));
  if (!R.succeeded())
    return failedCall(I, R, false, "");
  return {ExitCode::Done, render(I, bodyOf(*R.Reply)), ""};
}

} // namespace

CommandResult run(const Invocation &I, const CommandContext &C) {
  switch (I.Command) {
  case Verb::Submit:
    return submit(I, C);
  case Verb::Status:
    return read(I, C, "/v1/jobs/" + I.Job);
  case Verb::Wait:
    return waitForJob(I, C, I.Job);
  case Verb::Cancel:
    return cancel(I, C);
  case Verb::ListsPublish:
    return publish(I, C);
  case Verb::ListsShow:
    return read(I, C, "/v1/lists/" + I.ListName);
  case Verb::ListsHistory:
    return read(I, C, "/v1/lists/history");
  case Verb::Pool:
    return read(I, C, "/v1/pool");
  case Verb::Explain:
    return read(I, C, "/v1/jobs/" + I.Job + "/explain");
  case Verb::ReportBurn:
    return reportBurn(I, C);
  case Verb::Help:
  case Verb::DevPlatform:
    break;
  }
  return {ExitCode::Usage, "", "the command has no remote part\n"};
}

} // namespace heathersaddle::tool
