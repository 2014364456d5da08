// Every command turns the server's answer into output and an exit code. The
// exit code of a job's outcome comes from a server's answer only; when no
// server settles a call, the code is Unavailable or Unresolved.

#include "heathersaddle/tool/Commands.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/tool/Render.h"
#include <algorithm>

namespace heathersaddle::tool {

namespace json = boost::json;

namespace {

constexpr base::Millis LongestPoll{20'000};
constexpr base::Millis CallMargin{5'000};
// Between polls, for a server that answers before the asked wait is over.
constexpr base::Millis PollPause{100};

std::string show(const Invocation &I, const json::value &Value) {
  return I.Format == Output::Json ? renderJson(Value) : renderText(Value);
}

HttpCall makeCall(const Invocation &I, std::string Method, std::string Target) {
  HttpCall Call;
  Call.Method = std::move(Method);
  Call.Target = std::move(Target);
  if (!I.Token.empty())
    Call.Headers["authorization"] = "Bearer " + I.Token;
  return Call;
}

json::value bodyOf(const HttpReply &Reply) {
  if (auto Value = base::parseJson(Reply.Body, "answer"))
    return *std::move(Value);
  return json::object{{"body", Reply.Body}};
}

json::object errorBody(std::string_view Code, std::string_view Message,
                       const CallResult &R) {
  json::object Error{{"code", Code}, {"message", Message}};
  Error["tries"] = R.Tries;
  Error["server"] = R.Server;
  if (!R.Failure.empty())
    Error["cause"] = R.Failure;
  if (R.Reply) {
    Error["status"] = R.Reply->Status;
    Error["answer"] = bodyOf(*R.Reply);
  }
  return json::object{{"error", std::move(Error)}};
}

CommandResult failure(const Invocation &I, ExitCode Code,
                      const json::value &Body) {
  CommandResult Result;
  Result.Code = Code;
  (I.Format == Output::Json ? Result.Out : Result.Err) = show(I, Body);
  return Result;
}

/// The result of a call that did not succeed. \p Key is the call's idempotency
/// key, or empty.
CommandResult unsettled(const Invocation &I, const CallResult &R, bool Reads,
                        const std::string &Key) {
  if (R.MayHaveTakenEffect && !Reads) {
    auto Body = errorBody("unresolved",
                          "the call may have taken effect; repeat it with the "
                          "same key to learn the outcome",
                          R);
    if (!Key.empty())
      Body["error"].as_object()["key"] = Key;
    return failure(I, ExitCode::Unresolved, Body);
  }
  if (!R.Reply || R.Reply->Status >= 500 || R.Reply->Status == 429) {
    auto Body = errorBody("unavailable", "no server settled the call", R);
    if (!Key.empty())
      Body["error"].as_object()["key"] = Key;
    return failure(I, ExitCode::Unavailable, Body);
  }
  ExitCode Code =
      R.Reply->Status == 409 ? ExitCode::Conflict : ExitCode::Refused;
  return failure(I, Code, bodyOf(*R.Reply));
}

CommandResult read(const Invocation &I, const CommandContext &C,
                   const std::string &Target) {
  CallResult R = C.Servers->call(makeCall(I, "GET", Target));
  if (!R.succeeded())
    return unsettled(I, R, true, "");
  return {ExitCode::Done, show(I, bodyOf(*R.Reply)), ""};
}

std::string textField(const json::value &Body, std::string_view Name) {
  const json::object *O = Body.if_object();
  const json::value *V = O ? O->if_contains(Name) : nullptr;
  return V && V->is_string() ? std::string(V->as_string()) : std::string();
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

/// Polls until the job has ended or the time is over. Reads are repeated
/// through outages, because a read has no effect.
CommandResult waitFor(const Invocation &I, const CommandContext &C,
                      const std::string &Job) {
  const base::Millis End = C.MonoNow() + I.TimeLimit;
  for (;;) {
    base::Millis Left = std::max(End - C.MonoNow(), base::Millis(0));
    base::Millis Poll = std::min(Left, LongestPoll);
    HttpCall Call = makeCall(I, "GET",
                             "/v1/jobs/" + Job +
                                 "?wait_ms=" + std::to_string(Poll.count()));
    Call.TimeLimit = Poll + CallMargin;
    CallResult R = C.Servers->call(Call);
    bool Over = C.MonoNow() >= End;
    if (R.succeeded()) {
      json::value Body = bodyOf(*R.Reply);
      ExitCode Code = outcomeCode(Body);
      if (Code != ExitCode::NotEnded || Over)
        return {Code, show(I, Body), ""};
    } else if (Over || !transient(R)) {
      return unsettled(I, R, true, "");
    }
    C.Pause(PollPause);
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
  CallResult R = C.Servers->call(Call);
  if (!R.succeeded())
    return unsettled(I, R, false, Key);
  json::value Body = bodyOf(*R.Reply);
  const std::string Job = textField(Body, "job");
  if (Job.empty()) {
    R.MayHaveTakenEffect = true;
    return unsettled(I, R, false, Key);
  }
  if (I.Submit.ThenWait)
    return waitFor(I, C, Job);
  Body.as_object()["key"] = Key;
  return {ExitCode::Done, show(I, Body), ""};
}

/// Cancelling twice is the same as once, so the call needs no key of its own.
CommandResult cancel(const Invocation &I, const CommandContext &C) {
  CallResult R =
      C.Servers->call(makeCall(I, "POST", "/v1/jobs/" + I.Job + "/cancel"));
  if (!R.succeeded())
    return unsettled(I, R, false, "");
  return {ExitCode::Done, show(I, bodyOf(*R.Reply)), ""};
}

base::Expected<json::object> listBody(const Invocation &I) {
  auto Value = base::parseJson(I.ListText, "lists publish");
  if (!Value)
    return tl::unexpected(Value.error());
  if (!Value->is_object() || !Value->as_object().contains(I.ListName))
    return base::makeError(base::ErrorCode::InvalidArgument, "lists publish",
                           "must be an object with the field " + I.ListName, {},
                           "FILE");
  return std::move(Value->as_object());
}

CommandResult usageError(const Invocation &I, const base::Error &E) {
  json::object Error{
      {"code", base::name(E.Code)}, {"field", E.Field}, {"message", E.Message}};
  return failure(I, ExitCode::Usage, json::object{{"error", Error}});
}

/// The version in force, read from a server.
base::Expected<std::uint64_t> currentVersion(const CallResult &R) {
  if (R.succeeded()) {
    json::value Body = bodyOf(*R.Reply);
    const json::value *V = Body.as_object().if_contains("version");
    boost::system::error_code Ec;
    if (V) {
      auto Version = V->to_number<std::uint64_t>(Ec);
      if (!Ec)
        return Version;
    }
  }
  return base::makeError(base::ErrorCode::Unavailable, "lists publish",
                         "the version in force could not be read", R.Server);
}

CommandResult publish(const Invocation &I, const CommandContext &C) {
  auto Body = listBody(I);
  if (!Body)
    return usageError(I, Body.error());
  const std::string Target = "/v1/lists/" + I.ListName;
  if (I.ListBase) {
    (*Body)["base"] = *I.ListBase;
  } else if (!Body->contains("base")) {
    CallResult R = C.Servers->call(makeCall(I, "GET", Target));
    auto Version = currentVersion(R);
    if (!Version)
      return unsettled(I, R, true, "");
    (*Body)["base"] = *Version;
  }
  HttpCall Call = makeCall(I, "POST", Target);
  Call.Headers["idempotency-key"] = C.NewKey();
  Call.Headers["content-type"] = "application/json";
  Call.Body = json::serialize(*Body);
  CallResult R = C.Servers->call(Call);
  if (!R.succeeded())
    return unsettled(I, R, false, "");
  return {ExitCode::Done, show(I, bodyOf(*R.Reply)), ""};
}

} // namespace

CommandResult run(const Invocation &I, const CommandContext &C) {
  switch (I.Command) {
  case Verb::Submit:
    return submit(I, C);
  case Verb::Status:
    return read(I, C, "/v1/jobs/" + I.Job);
  case Verb::Wait:
    return waitFor(I, C, I.Job);
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
  case Verb::Help:
  case Verb::DevPlatform:
    break;
  }
  return {ExitCode::Usage, "", "the command has no remote part\n"};
}

} // namespace heathersaddle::tool
