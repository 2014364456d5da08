// The tool must not report that a call had no effect when a try may have been
// delivered. A try certainly had no effect only when the connection was refused
// or when the server's error says so: "run":"not_run", or for calls without
// that field the code "unavailable". Any other 5xx counts as unresolved. A
// refusal that follows an unresolved try does not decide the outcome of the
// earlier one, because it may apply to the repeated call only.

#include "heathersaddle/tool/Caller.h"
#include "heathersaddle/base/Json.h"
#include <algorithm>
#include <charconv>

namespace heathersaddle::tool {

namespace {

constexpr unsigned MaxDoublings = 10;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned FirstServerError = 500;

bool retryable(const HttpReply &R) {
  return R.Status == StatusTooManyRequests || R.Status >= FirstServerError;
}

std::string errorField(const HttpReply &R, std::string_view Name) {
  auto Value = base::parseJson(R.Body, "error body");
  if (!Value || !Value->is_object())
    return {};
  const auto *Error = Value->as_object().if_contains("error");
  if (!Error || !Error->is_object())
    return {};
  const auto *Field = Error->as_object().if_contains(
      boost::json::string_view(Name.data(), Name.size()));
  return Field && Field->is_string() ? std::string(Field->as_string())
                                     : std::string();
}

bool saysNoEffect(const HttpReply &R) {
  const std::string Run = errorField(R, "run");
  if (!Run.empty())
    return Run == "not_run";
  return errorField(R, "code") == "unavailable";
}

base::Millis retryAfter(const CallResult &Last) {
  if (!Last.Reply)
    return base::Millis(0);
  auto Found = Last.Reply->Headers.find("retry-after");
  if (Found == Last.Reply->Headers.end())
    return base::Millis(0);
  const std::string &Text = Found->second;
  unsigned Seconds = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  return base::Millis(std::min(Seconds, 3600U) * 1000LL);
}

} // namespace

Caller::Caller(std::vector<std::string> Servers, RetryPolicy Policy,
               Transport Send, std::function<void(base::Millis)> Sleep,
               std::uint64_t Seed)
    : Servers(std::move(Servers)), Policy(Policy), Send(std::move(Send)),
      Sleep(std::move(Sleep)), Random(Seed) {}

CallResult Caller::call(const HttpCall &Call) {
  CallResult Result;
  for (unsigned Try = 0; Try < Policy.Attempts; ++Try) {
    if (Try > 0) {
      backOff(Try, Result);
      Current = (Current + 1) % Servers.size();
    }
    Result.Server = Servers[Current];
    Result.Tries = Try + 1;
    attempt(Call, Result);
    if (Result.Reply && !retryable(*Result.Reply))
      break;
  }
  return Result;
}

std::vector<CallResult> Caller::callEach(const HttpCall &Call) {
  std::vector<CallResult> Results;
  for (const std::string &Server : Servers) {
    bool AlreadyCalled = std::any_of(
        Results.begin(), Results.end(),
        [&Server](const CallResult &R) { return R.Server == Server; });
    if (AlreadyCalled)
      continue;
    CallResult Result;
    Result.Server = Server;
    Result.Tries = 1;
    attempt(Call, Result);
    Results.push_back(std::move(Result));
  }
  return Results;
}

void Caller::attempt(const HttpCall &Call, CallResult &Result) {
  Result.Reply.reset();
  Result.Failure.clear();
  auto Reply = Send(Result.Server, Call);
  if (!Reply) {
    Result.Failure = Reply.error().Message;
    if (Reply.error().Code != base::ErrorCode::Unavailable)
      Result.MayHaveTakenEffect = true;
    return;
  }
  Result.Reply = *std::move(Reply);
  if (Result.succeeded())
    Result.MayHaveTakenEffect = false;
  if (Result.Reply->Status >= FirstServerError && !saysNoEffect(*Result.Reply))
    Result.MayHaveTakenEffect = true;
}

// In the first round the other servers are tried without backoff, because one
// refused connection says nothing about them; a 429 applies to the account on
// all servers.
void Caller::backOff(unsigned Try, const CallResult &Last) {
  bool RateLimited = Last.Reply && Last.Reply->Status == StatusTooManyRequests;
  bool RoundComplete = Try % Servers.size() == 0;
  if (!RateLimited && !RoundComplete)
    return;
  auto Round = std::min<std::size_t>(Try / Servers.size(), MaxDoublings);
  const base::Millis Exponential = Policy.InitialBackoff * (1LL << Round);
  const base::Millis Backoff = std::min(Exponential, Policy.MaxBackoff);
  std::uniform_int_distribution<std::int64_t> Jitter(Backoff.count() / 2,
                                                     Backoff.count());
  base::Millis Jittered(Jitter(Random));
  Sleep(std::min(std::max(Jittered, retryAfter(Last)), Policy.MaxBackoff));
}

} // namespace heathersaddle::tool
