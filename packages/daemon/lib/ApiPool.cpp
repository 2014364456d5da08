// Handlers for requests about the pool, the lists and the daemon itself, and
// for requests from peers.
#include "Call.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/base/Log.h"

namespace heathersaddle::daemon {

using base::ErrorCode;

void Api::pool(const std::shared_ptr<Call> &C) {
  Ops.Pool(C->Account, respondWithJson(C));
}

void Api::burn(const std::shared_ptr<Call> &C) {
  Ops.Burn(C->Account, [C](const base::Expected<report::BurnReport> &Result) {
    if (!Result)
      return C->fail(Result.error());
    report::BurnReport Report = *Result;
    if (C->IsOperator) {
      std::lock_guard Lock(C->ParentApi->StatsMutex);
      Report.Requests = C->ParentApi->Stats.figures();
    }
    C->sendJson(200, report::toJson(Report));
  });
}

static std::optional<state::ListKind> parseListKind(std::string_view Name) {
  if (Name == "customers")
    return state::ListKind::Customers;
  if (Name == "plans")
    return state::ListKind::Plans;
  return std::nullopt;
}

void Api::readList(const std::shared_ptr<Call> &C) {
  auto Kind = parseListKind(C->PathArgument);
  if (!Kind)
    return C->fail(ErrorCode::NotFound, "the lists are customers and plans");
  Ops.ReadList(*Kind, respondWithJson(C));
}

void Api::publish(const std::shared_ptr<Call> &C) {
  auto Kind = parseListKind(C->PathArgument);
  if (!Kind)
    return C->fail(ErrorCode::NotFound, "the lists are customers and plans");
  auto Value = base::parseJson(C->Request.Body, "publish");
  if (!Value)
    return C->reject("input", Value.error());
  base::JsonReader R(*Value, "publish");
  std::uint64_t Base = R.unsigned64("base");
  R.array(C->PathArgument, true, 100'000);
  R.allowOnly({"base", C->PathArgument});
  if (R.error())
    return C->reject("input", *R.error());
  boost::json::object List{{C->PathArgument, *R.find(C->PathArgument)}};
  Ops.Publish(*Kind, Base, std::move(List),
              [C](const base::Expected<PublishReply> &Result) {
                if (!Result)
                  return C->fail(Result.error());
                base::logEvent(base::event::OperatorPublished,
                               C->PathArgument + (Result->Accepted
                                                      ? " accepted"
                                                      : " rejected"));
                C->sendJson(Result->Accepted ? 200 : 409, Result->Body);
              });
}

void Api::history(const std::shared_ptr<Call> &C) {
  Ops.History(respondWithJson(C));
}

void Api::peer(const std::shared_ptr<Call> &C) {
  auto Value = base::parseJson(C->Request.Body, "peer");
  if (!Value)
    return C->reject("input", Value.error());
  Ops.Peer(C->Request.Path, std::move(*Value), respondWithJson(C));
}

void Api::health(const std::shared_ptr<Call> &C) {
  C->sendJson(200, boost::json::object{{"status", "alive"}});
}

void Api::readiness(const std::shared_ptr<Call> &C) {
  bool Ready = !Stopping && Ops.Ready();
  std::string_view Status = Stopping ? "stopping" : "not ready";
  C->sendJson(Ready ? 200 : 503,
              boost::json::object{{"status", Ready ? "ready" : Status}});
}

void Api::metrics(const std::shared_ptr<Call> &C) {
  Ops.RefreshMetrics([C] {
    net::Response R;
    R.ContentType = "text/plain; version=0.0.4";
    R.Body = C->ParentApi->MetricsRegistry.text();
    C->send(std::move(R));
  });
}

} // namespace heathersaddle::daemon
