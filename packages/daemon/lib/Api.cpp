// The steps common to all requests: find the route, check readiness,
// authenticate, apply the rate limit, call the route's handler, count the
// response. The handlers are in ApiJobs.cpp and ApiPool.cpp.
#include "Call.h"
#include "heathersaddle/base/Hash.h"
#include "heathersaddle/base/Log.h"
#include <algorithm>

namespace heathersaddle::daemon {

using base::Error;
using base::ErrorCode;

const Api::Route Api::Routes[] = {
    {"POST", "/v1/jobs", Access::Account, &Api::submit, true, true},
    {"GET", "/v1/jobs/*", Access::Account, &Api::fetch, true, false},
    {"POST", "/v1/jobs/*/cancel", Access::Account, &Api::cancel, true, false},
    {"GET", "/v1/jobs/*/explain", Access::Account, &Api::explain, true, false},
    {"GET", "/v1/pool", Access::AccountOrOperator, &Api::pool, true, false},
    {"GET", "/v1/report/burn", Access::AccountOrOperator, &Api::burn, true,
     false},
    {"GET", "/v1/lists/history", Access::Operator, &Api::history, true, false},
    {"GET", "/v1/lists/*", Access::Operator, &Api::readList, true, false},
    {"POST", "/v1/lists/*", Access::Operator, &Api::publish, true, false},
    {"POST", "/v1/peer/*", Access::Peer, &Api::peer, false, false},
    {"GET", "/healthz", Access::Anyone, &Api::health, false, false},
    {"GET", "/readyz", Access::Anyone, &Api::readiness, false, false},
    {"GET", "/metrics", Access::Anyone, &Api::metrics, false, false},
};

/// Matches \p Path against \p Pattern; stores the segment that matched "*".
static bool matches(std::string_view Pattern, std::string_view Path,
                    std::string &PathArgument) {
  std::size_t Star = Pattern.find('*');
  if (Star == std::string_view::npos)
    return Pattern == Path;
  std::string_view Prefix = Pattern.substr(0, Star);
  std::string_view Suffix = Pattern.substr(Star + 1);
  if (Path.size() <= Prefix.size() + Suffix.size() ||
      !Path.starts_with(Prefix) || !Path.ends_with(Suffix))
    return false;
  std::string_view Segment =
      Path.substr(Prefix.size(), Path.size() - Prefix.size() - Suffix.size());
  if (Segment.find('/') != std::string_view::npos)
    return false;
  PathArgument = Segment;
  return true;
}

Api::Api(ApiSettings Settings, Operations Ops, Metrics &MetricsRegistry)
    : Settings(std::move(Settings)), Ops(std::move(Ops)),
      MetricsRegistry(MetricsRegistry) {}

void Api::handle(net::Request Request, net::Respond Reply) {
  auto C = std::make_shared<Call>(shared_from_this(), std::move(Request),
                                  std::move(Reply));
  std::string Allowed;
  for (const Route &R : Routes) {
    if (!matches(R.Path, C->Request.Path, C->PathArgument))
      continue;
    if (R.Method == C->Request.Method) {
      C->MatchedRoute = &R;
      break;
    }
    Allowed += (Allowed.empty() ? "" : ", ") + std::string(R.Method);
  }
  if (!C->MatchedRoute && !Allowed.empty()) {
    auto R = errorResponse({ErrorCode::InvalidArgument, "route", "",
                            "the method is not allowed here", "method"});
    R.Status = 405;
    R.Headers["Allow"] = Allowed;
    return C->send(std::move(R));
  }
  if (!C->MatchedRoute)
    return C->fail(ErrorCode::NotFound, "there is nothing at this path");
  if (C->MatchedRoute->NeedsState && (!Ops.Accounts() || !Ops.Serving()))
    return C->reject("not_ready", {ErrorCode::Unavailable, "accept", "",
                                   "the daemon is not ready", ""});
  authenticate(C);
}

static std::string_view bearerToken(const net::Request &R) {
  static constexpr std::string_view Scheme = "Bearer ";
  auto Found = R.Headers.find("authorization");
  if (Found == R.Headers.end())
    return {};
  std::string_view Value = Found->second;
  return Value.starts_with(Scheme) ? Value.substr(Scheme.size())
                                   : std::string_view{};
}

void Api::authenticate(const std::shared_ptr<Call> &C) {
  Access RequiredAccess = C->MatchedRoute->RequiredAccess;
  if (RequiredAccess == Access::Anyone)
    return (this->*C->MatchedRoute->Handler)(C);
  if (RequiredAccess == Access::Peer) {
    const std::string &Key = C->Request.Headers["x-heathersaddle-peer"];
    if (base::equalConstantTime(base::sha256Hex(Key),
                                base::sha256Hex(Settings.PeerKey)))
      return (this->*C->MatchedRoute->Handler)(C);
    base::logEvent(base::event::PeerRejected,
                   C->Request.RemoteAddress + " sent a wrong peer key");
    return C->reject("peer_key", {ErrorCode::Unauthenticated, "authenticate",
                                  "", "the peer key is wrong", ""});
  }
  std::string_view Token = bearerToken(C->Request);
  if (Token.empty())
    return C->reject("no_token",
                     {ErrorCode::Unauthenticated, "authenticate", "",
                      "send 'Authorization: Bearer TOKEN'", "authorization"});
  std::string Digest = base::sha256Hex(Token);
  if (!Settings.OperatorTokenSha256.empty() &&
      base::equalConstantTime(Digest, Settings.OperatorTokenSha256)) {
    C->IsOperator = true;
    if (RequiredAccess == Access::Account)
      return C->reject("forbidden",
                       {ErrorCode::PermissionDenied, "authenticate", "",
                        "this is for accounts, not for operators", ""});
    return (this->*C->MatchedRoute->Handler)(C);
  }
  auto Accounts = Ops.Accounts();
  auto Found = Accounts->find(Digest);
  if (Found == Accounts->end() ||
      !base::equalConstantTime(Digest, Found->second.TokenSha256)) {
    base::logEvent(base::event::CallerRejected,
                   C->Request.RemoteAddress + " sent an unknown token");
    return C->reject("token", {ErrorCode::Unauthenticated, "authenticate", "",
                               "the token is not known", "authorization"});
  }
  limitRate(C, Found->second);
}

void Api::limitRate(const std::shared_ptr<Call> &C,
                    const AccountEntry &Account) {
  C->Account = Account.Account;
  auto Wait = AccountLimiter.take(Account.Account, Account.RequestsPerSecond,
                                  Account.Burst, Settings.Clock());
  if (Wait) {
    auto R = errorResponse({ErrorCode::ResourceExhausted, "limit_rate", "",
                            "the account's request rate is used up", ""},
                           C->MatchedRoute->IsSubmission);
    R.Headers["Retry-After"] = std::to_string((Wait->count() + 999) / 1000);
    MetricsRegistry.add("heathersaddle_rejected_total", label("reason", "rate"),
                        1);
    return C->send(std::move(R));
  }
  if (C->MatchedRoute->RequiredAccess == Access::Operator)
    return C->reject("forbidden", {ErrorCode::PermissionDenied, "authenticate",
                                   "", "this is for operators", ""});
  (this->*C->MatchedRoute->Handler)(C);
}

Api::Call::Call(std::shared_ptr<Api> Parent, net::Request Request,
                net::Respond Reply)

    : ParentApi(std::move(Parent)), Request(std::move(Request)),
      Reply(std::move(Reply)), StartTime(ParentApi->Settings.Clock()) {
  ParentApi->MetricsRegistry.set("heathersaddle_requests_in_progress", "",
                                 ++ParentApi->InProgress);
}

Api::Call::~Call() {
  fail(ErrorCode::Internal, "the request was not answered");
  ParentApi->MetricsRegistry.set("heathersaddle_requests_in_progress", "",
                                 --ParentApi->InProgress);
}

void Api::Call::send(net::Response R) {
  if (Answered.exchange(true))
    return;
  std::string RouteLabel =
      label("route", MatchedRoute ? MatchedRoute->Path : "none");
  std::string StatusClass(1, static_cast<char>('0' + R.Status / 100));
  ParentApi->MetricsRegistry.add(
      "heathersaddle_requests_total",
      RouteLabel + "," + label("status", StatusClass + "xx"), 1);
  auto Elapsed = ParentApi->Settings.Clock() - StartTime;
  ParentApi->MetricsRegistry.add("heathersaddle_request_seconds_total",
                                 RouteLabel,
                                 static_cast<double>(Elapsed.count()) / 1000.0);
  if (MatchedRoute && MatchedRoute->RequiredAccess != Access::Anyone &&
      MatchedRoute->RequiredAccess != Access::Peer) {
    std::lock_guard Lock(ParentApi->StatsMutex);
    ParentApi->Stats.record(static_cast<double>(Elapsed.count()), R.Status);
  }
  if (MatchedRoute && MatchedRoute->RequiredAccess == Access::Peer) {
    ParentApi->PeerBytesIn += Request.WireBytes;
    ParentApi->PeerBytesOut += R.Body.size();
  }
  std::exchange(Reply, nullptr)(std::move(R));
}

void Api::Call::sendJson(unsigned Status, const boost::json::value &Body) {
  net::Response R;
  R.Status = Status;
  R.Body = boost::json::serialize(Body);
  send(std::move(R));
}

void Api::Call::fail(const Error &E) {
  send(errorResponse(E, MatchedRoute && MatchedRoute->IsSubmission));
}

void Api::Call::fail(ErrorCode Code, std::string_view Message,
                     std::string_view Field) {
  fail({Code, MatchedRoute ? "request" : "route", "", std::string(Message),
        std::string(Field)});
}

void Api::Call::reject(std::string_view Reason, const Error &E) {
  ParentApi->MetricsRegistry.add("heathersaddle_rejected_total",
                                 label("reason", Reason), 1);
  fail(E);
}

JsonCompletion respondWithJson(std::shared_ptr<Api::Call> C) {
  return [C = std::move(C)](const base::Expected<boost::json::value> &R) {
    if (R)
      C->sendJson(200, *R);
    else
      C->fail(R.error());
  };
}

} // namespace heathersaddle::daemon
