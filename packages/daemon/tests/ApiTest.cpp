#define BOOST_TEST_MODULE daemon
#include "Api.h"
#include "heathersaddle/base/Hash.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/net/Executor.h"
#include "heathersaddle/net/HttpClient.h"
#include "heathersaddle/net/HttpServer.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::daemon;
using base::ErrorCode;

namespace {

/// The API on a free port with fake operations that record their arguments.
struct ApiFixture {
  ApiFixture() {
    auto KnownAccounts = std::make_shared<AccountDirectory>();
    for (const char *Name : {"maison-a", "maison-b"}) {
      std::string Token = base::sha256Hex(std::string(Name) + "-token");
      (*KnownAccounts)[Token] = {Name, Token, 10, 3};
    }
    Operations Ops;
    Ops.Accounts = [KnownAccounts] { return KnownAccounts; };
    Ops.Serving = [this] { return Serving.load(); };
    Ops.Ready = [this] { return Serving.load(); };
    Ops.Submit = [this](const Submission &S, const auto &Next) {
      LastSubmission = S;
      if (InjectedError)
        return Next(tl::unexpected(*InjectedError));
      Next(control::SubmitResult{"j1", false});
    };
    Ops.Fetch = [this](const std::string &Job, const std::string &Account,
                       base::Millis Wait, const JsonCompletion &Next) {
      LastWait = Wait;
      if (Job != "j1")
        return Next(base::makeError(ErrorCode::NotFound, "find", "no such"));
      if (Account != "maison-a")
        return Next(base::makeError(ErrorCode::PermissionDenied, "find",
                                    "belongs to maison-a"));
      Next(boost::json::object{{"job", Job}});
    };
    Ops.Cancel = [](const std::string &, const std::string &,
                    const JsonCompletion &) { /* Drops the request. */ };
    Ops.Pool = [](const std::string &Account, const JsonCompletion &Next) {
      Next(boost::json::object{{"for", Account}});
    };
    Ops.Publish = [](state::ListKind, std::uint64_t Base,
                     const boost::json::value &, const auto &Next) {
      Next(PublishReply{Base == 7, boost::json::object{{"version", 8}}});
    };
    Ops.Peer = [](const std::string &Path, const boost::json::value &,
                  const JsonCompletion &Next) {
      Next(boost::json::object{{"path", Path}});
    };
    Ops.RefreshMetrics = [](const std::function<void()> &Next) { Next(); };
    CallerApi = std::make_shared<Api>(
        ApiSettings{base::sha256Hex("operator"), "0123456789abcdef",
                    base::Millis(500),
                    [this] { return base::MonoTime(NowMs.load()); }},
        Ops, MetricsRegistry);
    Server.emplace(Threads.context(), net::ServerLimits{},
                   [this](net::Request R, net::Respond Reply) {
                     CallerApi->handle(std::move(R), std::move(Reply));
                   });
    Address =
        "127.0.0.1:" + std::to_string(Server->listen("127.0.0.1", 0).value());
  }

  net::ClientResponse send(const std::string &Method, const std::string &Target,
                           const std::string &Token,
                           const std::string &Body = "",
                           std::map<std::string, std::string> Headers = {}) {
    NowMs += 1'000; // Refills the rate limit.
    return sendNow(Method, Target, Token, Body, std::move(Headers));
  }
  net::ClientResponse sendNow(const std::string &Method,
                              const std::string &Target,
                              const std::string &Token,
                              const std::string &Body = "",
                              std::map<std::string, std::string> Headers = {}) {
    if (!Token.empty())
      Headers["Authorization"] = "Bearer " + Token;
    auto R = Client.send(Address, {.Method = Method,
                                   .Target = Target,
                                   .Headers = std::move(Headers),
                                   .Body = Body});
    BOOST_REQUIRE(R);
    return *R;
  }
  net::ClientResponse submit(const std::string &Body,
                             const std::string &Key = "key-1") {
    return send("POST", "/v1/jobs", "maison-a-token", Body,
                {{"Idempotency-Key", Key}});
  }

  Metrics MetricsRegistry;
  std::atomic<std::int64_t> NowMs{0};
  std::atomic<bool> Serving{true};
  Submission LastSubmission;
  base::Millis LastWait{};
  std::optional<base::Error> InjectedError;
  std::shared_ptr<Api> CallerApi;
  net::Executor Threads{1};
  std::optional<net::HttpServer> Server;
  std::string Address;
  net::BlockingClient Client;
};

std::string errorField(const net::ClientResponse &R, const char *Name) {
  auto Value = base::parseJson(R.Body, "test");
  BOOST_REQUIRE(Value);
  const auto *Error = Value->as_object().if_contains("error");
  BOOST_REQUIRE(Error);
  const auto *Text = Error->as_object().if_contains(Name);
  return Text ? std::string(Text->as_string()) : "absent";
}

constexpr const char *ValidJob =
    R"({"shape":{"tasks":2,"slots":4,"within":"rack"},"kind":"render",)"
    R"("input":"x","idempotent":true,"deadline_ms":5000,"cores":9})";

} // namespace

BOOST_AUTO_TEST_SUITE(CallerApi)

BOOST_AUTO_TEST_SUITE(Input)

// Guards against losing or mixing up fields of a submission.
BOOST_AUTO_TEST_CASE(CompleteJobIsAccepted) {
  ApiFixture S;
  auto R = S.submit(ValidJob);
  BOOST_TEST(R.Status == 202u);
  BOOST_TEST(R.Body.find(R"("job":"j1")") != std::string::npos);
  const state::JobSpec &Spec = S.LastSubmission.Request.Spec;
  BOOST_TEST(Spec.Account == "maison-a");
  BOOST_TEST(S.LastSubmission.Request.Key == "key-1");
  BOOST_TEST(Spec.Shape.Tasks == 2u);
  BOOST_TEST(Spec.Shape.SlotsPerTask == 4u);
  BOOST_TEST(Spec.Shape.Accelerators);
  BOOST_TEST((Spec.Shape.Within == pool::Adjacency::Rack));
  BOOST_TEST(Spec.Idempotent);
  BOOST_TEST(!Spec.Urgent);
  BOOST_TEST(S.LastSubmission.DeadlineAfterMs == 5000);
  BOOST_TEST(S.LastSubmission.Cores == 9u);
}

// Guards against accepting invalid input, and against errors that do not say
// which field is invalid or whether the job may have run.
BOOST_AUTO_TEST_CASE(InvalidFieldIsNamedInTheError) {
  ApiFixture S;
  const std::pair<const char *, const char *> Cases[] = {
      {R"({"kind":"k"})", "shape"},
      {R"({"shape":{}})", "kind"},
      {R"({"shape":{},"kind":""})", "kind"},
      {R"({"shape":7,"kind":"k"})", "shape."},
      {R"({"shape":{"tasks":0},"kind":"k"})", "shape.tasks"},
      {R"({"shape":{"tasks":65},"kind":"k"})", "shape.tasks"},
      {R"({"shape":{"slots":"4"},"kind":"k"})", "shape.slots"},
      {R"({"shape":{"slots":65},"kind":"k"})", "shape.slots"},
      {R"({"shape":{"accelerators":-1},"kind":"k"})", "shape.accelerators"},
      {R"({"shape":{"slots":1,"accelerators":2},"kind":"k"})",
       "shape.accelerators"},
      {R"({"shape":{"within":"room"},"kind":"k"})", "shape.within"},
      {R"({"shape":{"task":1},"kind":"k"})", "shape.task"},
      {R"({"shape":{},"kind":"k","input":7})", "input"},
      {R"({"shape":{},"kind":"k","idempotent":1})", "idempotent"},
      {R"({"shape":{},"kind":"k","urgent":"yes"})", "urgent"},
      {R"({"shape":{},"kind":"k","deadline_ms":0})", "deadline_ms"},
      {R"({"shape":{},"kind":"k","run_time_ms":1.5})", "run_time_ms"},
      {R"({"shape":{},"kind":"k","cores":-1})", "cores"},
      {R"({"shape":{},"kind":"k","memory_mb":0})", "memory_mb"},
      {R"({"shape":{},"kind":"k","dead_line":1})", "dead_line"},
  };
  for (auto [Body, Field] : Cases) {
    auto R = S.submit(Body);
    BOOST_TEST(R.Status == 400u, Body);
    BOOST_TEST(errorField(R, "field") == Field, Body);
    BOOST_TEST(errorField(R, "run") == "not_run");
  }
  BOOST_TEST(errorField(S.submit("{"), "code") == "invalid_argument");
  std::string Input(state::MaxInputBytes + 1, 'x');
  auto R = S.submit(R"({"shape":{},"kind":"k","input":")" + Input + "\"}");
  BOOST_TEST(errorField(R, "field") == "input");
  BOOST_TEST(S.LastSubmission.Request.Spec.Kind == "");
}

// Guards against keys that cannot be stored or compared.
BOOST_AUTO_TEST_CASE(InvalidIdempotencyKeyIsRejected) {
  ApiFixture S;
  for (const std::string &Key :
       {std::string(), std::string(129, 'k'), std::string("a b"),
        std::string("k\xc3\xa9")}) {
    auto R = S.submit(ValidJob, Key);
    BOOST_TEST(R.Status == 400u, Key);
    BOOST_TEST(errorField(R, "field") == "idempotency-key");
  }
  BOOST_TEST(S.submit(ValidJob, std::string(128, 'k')).Status == 202u);
}

// Guards against unbounded waits.
BOOST_AUTO_TEST_CASE(InvalidWaitIsRejected) {
  ApiFixture S;
  for (const char *Wait : {"501", "-1", "x", "", "1x", "99999999999999999999"})
    BOOST_TEST(
        errorField(S.send("GET", std::string("/v1/jobs/j1?wait_ms=") + Wait,
                          "maison-a-token"),
                   "field") == "wait_ms");
  BOOST_TEST(errorField(S.send("GET", "/v1/jobs/j1?wait=1", "maison-a-token"),
                        "field") == "wait");
  BOOST_TEST(
      S.send("GET", "/v1/jobs/j1?wait_ms=500", "maison-a-token").Status ==
      200u);
  BOOST_TEST(S.LastWait.count() == 500);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Accounts)

// Guards against serving requests without a valid token or with a token that
// has no access to the route.
BOOST_AUTO_TEST_CASE(InvalidTokenIsRejected) {
  ApiFixture S;
  BOOST_TEST(S.send("GET", "/v1/jobs/j1", "").Status == 401u);
  BOOST_TEST(S.send("GET", "/v1/jobs/j1", "maison-c-token").Status == 401u);
  BOOST_TEST(S.send("GET", "/v1/jobs/j1", "", "",
                    {{"Authorization", "Basic maison-a-token"}})
                 .Status == 401u);
  BOOST_TEST(S.send("GET", "/v1/jobs/j1", "operator").Status == 403u);
  BOOST_TEST(S.send("GET", "/v1/lists/plans", "maison-a-token").Status == 403u);
  BOOST_TEST(S.send("POST", "/v1/lists/plans", "maison-a-token").Status ==
             403u);
  BOOST_TEST(S.send("GET", "/v1/lists/history", "maison-a-token").Status ==
             403u);
  auto Peer = [&S](const char *Key) {
    return S.send("POST", "/v1/peer/ping", "", "{}",
                  {{"x-heathersaddle-peer", Key}});
  };
  BOOST_TEST(Peer("0123456789abcdeF").Status == 401u);
  BOOST_TEST(Peer("").Status == 401u);
  BOOST_TEST(Peer("0123456789abcdef").Body == R"({"path":"/v1/peer/ping"})");
}

// Guards against revealing to one account which jobs another one has.
BOOST_AUTO_TEST_CASE(ForeignJobIsAnsweredLikeAnUnknownOne) {
  ApiFixture S;
  auto Own = S.send("GET", "/v1/jobs/j1", "maison-a-token");
  auto Foreign = S.send("GET", "/v1/jobs/j1", "maison-b-token");
  auto Unknown = S.send("GET", "/v1/jobs/j2", "maison-b-token");
  auto Odd = S.send("GET", "/v1/jobs/j%21", "maison-b-token");
  BOOST_TEST(Own.Status == 200u);
  BOOST_TEST(Foreign.Status == 404u);
  BOOST_TEST(Foreign.Body == Unknown.Body);
  BOOST_TEST(Odd.Body == Unknown.Body);
  BOOST_TEST(errorField(Foreign, "run") == "absent");
}

// Guards against showing an account the operators' view of the pool.
BOOST_AUTO_TEST_CASE(PoolViewDependsOnTheCaller) {
  ApiFixture S;
  BOOST_TEST(S.send("GET", "/v1/pool", "maison-b-token").Body ==
             R"({"for":"maison-b"})");
  BOOST_TEST(S.send("GET", "/v1/pool", "operator").Body == R"({"for":""})");
}

// Guards against one account overloading the daemon, against a Retry-After that
// is too short, and against limiting other accounts as well.
BOOST_AUTO_TEST_CASE(RequestsAboveTheRateAreRejected) {
  ApiFixture S;
  auto Ask = [&S](const char *Token) {
    return S.sendNow("GET", "/v1/jobs/j1", Token);
  };
  for (int N = 0; N < 3; ++N)
    BOOST_TEST(Ask("maison-a-token").Status == 200u);
  auto Limited = Ask("maison-a-token");
  BOOST_TEST(Limited.Status == 429u);
  BOOST_TEST(Ask("maison-b-token").Status == 404u);
  S.NowMs += std::stoi(Limited.Headers["retry-after"]) * 1'000;
  BOOST_TEST(Ask("maison-a-token").Status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Errors)

// Guards against reporting "not_run" when the job may have run, and the
// reverse.
BOOST_AUTO_TEST_CASE(ErrorSaysWhetherTheJobMayHaveRun) {
  ApiFixture S;
  const std::tuple<ErrorCode, unsigned, const char *> Cases[] = {
      {ErrorCode::Conflict, 409, "not_run"},
      {ErrorCode::ResourceExhausted, 429, "not_run"},
      {ErrorCode::Unavailable, 503, "not_run"},
      {ErrorCode::Unresolved, 503, "unresolved"},
      {ErrorCode::Timeout, 504, "unresolved"},
      {ErrorCode::Internal, 500, "unresolved"}};
  for (auto [Code, Status, Run] : Cases) {
    S.InjectedError = base::Error{Code, "append", "log", "why", ""};
    auto R = S.submit(ValidJob);
    BOOST_TEST(R.Status == Status);
    BOOST_TEST(errorField(R, "run") == Run);
    BOOST_TEST(errorField(R, "step") == "append");
    BOOST_TEST(R.Headers.contains("retry-after") ==
               (Status == 429 || Status == 503));
  }
}

// Guards against never answering a request whose completion is dropped.
BOOST_AUTO_TEST_CASE(DroppedRequestIsAnsweredWith500) {
  ApiFixture S;
  BOOST_TEST(S.send("POST", "/v1/jobs/j1/cancel", "maison-a-token").Status ==
             500u);
}

// Guards against confusing an unknown path with a wrong method.
BOOST_AUTO_TEST_CASE(UnknownPathIs404AndWrongMethodIs405) {
  ApiFixture S;
  BOOST_TEST(S.send("GET", "/v2/jobs", "maison-a-token").Status == 404u);
  BOOST_TEST(S.send("GET", "/v1/jobs/a/b", "maison-a-token").Status == 404u);
  auto R = S.send("DELETE", "/v1/jobs/j1", "maison-a-token");
  BOOST_TEST(R.Status == 405u);
  BOOST_TEST(R.Headers["allow"] == "GET");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against publishing a list without a base version or with unknown
// fields.
BOOST_AUTO_TEST_CASE(PublishRequiresBaseAndKnownFields) {
  ApiFixture S;
  auto Publish = [&S](const char *Body) {
    return S.send("POST", "/v1/lists/plans", "operator", Body);
  };
  BOOST_TEST(Publish(R"({"base":7,"plans":[]})").Status == 200u);
  auto Lost = Publish(R"({"base":6,"plans":[]})");
  BOOST_TEST(Lost.Status == 409u);
  BOOST_TEST(Lost.Body == R"({"version":8})");
  BOOST_TEST(errorField(Publish(R"({"plans":[]})"), "field") == "base");
  BOOST_TEST(errorField(Publish(R"({"base":7})"), "field") == "plans");
  BOOST_TEST(errorField(Publish(R"({"base":7,"plans":[],"x":1})"), "field") ==
             "x");
  BOOST_TEST(S.send("GET", "/v1/lists/jobs", "operator").Status == 404u);
}

// Guards against reporting ready when callers cannot be served, and against a
// graceful stop that rejects requests.
BOOST_AUTO_TEST_CASE(ReadinessFollowsStateAndStop) {
  ApiFixture S;
  BOOST_TEST(S.send("GET", "/readyz", "").Status == 200u);
  S.Serving = false;
  BOOST_TEST(S.send("GET", "/readyz", "").Status == 503u);
  BOOST_TEST(S.send("GET", "/healthz", "").Status == 200u);
  auto R = S.submit(ValidJob);
  BOOST_TEST(R.Status == 503u);
  BOOST_TEST(errorField(R, "run") == "not_run");
  S.Serving = true;
  S.CallerApi->setStopping();
  BOOST_TEST(S.send("GET", "/readyz", "").Status == 503u);
  BOOST_TEST(S.submit(ValidJob).Status == 202u);
  S.send("GET", "/v1/jobs/j1?wait_ms=500", "maison-a-token");
  BOOST_TEST(S.LastWait.count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
