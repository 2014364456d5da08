// Publishes a version of a list. An offer is a proposed new version; it names
// the version that it changes, its base, and at most one offer per base is
// accepted. The history therefore shows the outcome of an offer whose answer
// was lost.

#include "Remote.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/state/Lists.h"
#include <boost/json/serialize.hpp>

namespace heathersaddle::tool {

namespace json = boost::json;

namespace {

/// By then an accepted version is in force on every daemon.
constexpr base::Millis MaxActivationTime{8'000};
constexpr base::Millis HistoryPollInterval{500};

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

/// State of an offer whose answer was lost, as read from the servers.
struct OfferStatus {
  enum class Kind {
    Undecided,
    InForce,
    OtherAccepted,
    Superseded
  } State = Kind::Undecided;
  std::uint64_t Version = 0; ///< Accepted on the offer's base; 0: none known.
};

const json::array *arrayIn(const json::value &Body, std::string_view Field) {
  const json::object *O = Body.if_object();
  const json::value *V = O ? O->if_contains(Field) : nullptr;
  return V ? V->if_array() : nullptr;
}

std::uint64_t numberIn(const json::value &Body, std::string_view Field) {
  const json::object *O = Body.if_object();
  const json::value *V = O ? O->if_contains(Field) : nullptr;
  boost::system::error_code Ec;
  auto Number = V ? V->to_number<std::uint64_t>(Ec) : 0;
  return Ec ? 0 : Number;
}

/// The version accepted on \p Base, or 0 when the history contains none.
std::uint64_t acceptedOn(const json::value &History, const std::string &List,
                         std::uint64_t Base) {
  const json::array *Entries = arrayIn(History, "history");
  if (!Entries)
    return 0;
  for (const json::value &Entry : *Entries) {
    const json::object *O = Entry.if_object();
    const json::value *Accepted = O ? O->if_contains("accepted") : nullptr;
    if (Accepted && *Accepted == json::value(true) && O->contains("base") &&
        textField(Entry, "list") == List && numberIn(Entry, "base") == Base)
      return numberIn(Entry, "version");
  }
  return 0;
}

/// Compares parsed lists, as the daemons do, so that order and defaults make no
/// difference.
bool sameList(const std::string &Name, const json::value &A,
              const json::value &B) {
  auto ListOnly = [&Name](const json::value &V) {
    const json::array *Items = arrayIn(V, Name);
    return json::value{{Name, Items ? *Items : json::array{}}};
  };
  if (Name == "plans") {
    auto First = state::parsePlans(ListOnly(A));
    auto Second = state::parsePlans(ListOnly(B));
    return First && Second && *First == *Second;
  }
  auto First = state::parseCustomers(ListOnly(A));
  auto Second = state::parseCustomers(ListOnly(B));
  return First && Second && *First == *Second;
}

/// Reads the history once and, when it contains a version on the offer's base,
/// the list in force. In that case no copy of the offer that is still in flight
/// can take effect, because at most one offer per base is accepted.
OfferStatus checkOffer(const Invocation &I, const CommandContext &C,
                       const json::value &Offer) {
  CallResult History =
      C.ServerCaller->call(makeCall(I, "GET", "/v1/lists/history"));
  if (!History.succeeded())
    return {};
  OfferStatus Status;
  Status.Version =
      acceptedOn(bodyOf(*History.Reply), I.ListName, numberIn(Offer, "base"));
  if (Status.Version == 0)
    return Status;
  CallResult List =
      C.ServerCaller->call(makeCall(I, "GET", "/v1/lists/" + I.ListName));
  if (!List.succeeded())
    return Status;
  const json::value Body = bodyOf(*List.Reply);
  const std::uint64_t InForce = numberIn(Body, "version");
  if (InForce > Status.Version)
    Status.State = OfferStatus::Kind::Superseded;
  else if (InForce == Status.Version)
    Status.State = sameList(I.ListName, Offer, Body)
                       ? OfferStatus::Kind::InForce
                       : OfferStatus::Kind::OtherAccepted;
  return Status;
}

CommandResult unresolvedOffer(const Invocation &I, const CallResult &R,
                              std::string_view Message) {
  return failure(I, ExitCode::Unresolved, errorBody("unresolved", Message, R));
}

/// Reads the history until it decides the offer's outcome or
/// MaxActivationTime has passed. The absence of a version on the offer's base
/// proves nothing: the offer may still be in flight to the log.
CommandResult resolveOutcome(const Invocation &I, const CommandContext &C,
                             const CallResult &R, const json::value &Offer) {
  const base::Millis End = C.MonoNow() + MaxActivationTime;
  OfferStatus Status = checkOffer(I, C, Offer);
  while (Status.State == OfferStatus::Kind::Undecided && C.MonoNow() < End) {
    C.Sleep(HistoryPollInterval);
    Status = checkOffer(I, C, Offer);
  }
  const std::string Version = std::to_string(Status.Version);
  const std::string Base = std::to_string(numberIn(Offer, "base"));
  switch (Status.State) {
  case OfferStatus::Kind::InForce:
    return {ExitCode::Done,
            render(I, json::object{{"list", I.ListName},
                                   {"version", Status.Version},
                                   {"settled_by", "history"}}),
            ""};
  case OfferStatus::Kind::OtherAccepted:
    return failure(I, ExitCode::Conflict,
                   errorBody("conflict",
                             "another offer won: version " + Version +
                                 " has another content, and this offer can no "
                                 "longer take effect",
                             R));
  case OfferStatus::Kind::Superseded:
    return unresolvedOffer(
        I, R,
        "version " + Version + " was accepted on base " + Base +
            " and replaced since; whether it was this offer "
            "cannot be told, but no later try can take effect");
  case OfferStatus::Kind::Undecided:
    break;
  }
  return unresolvedOffer(I, R,
                         "the history shows no version on base " + Base +
                             " yet; publish again with --base " + Base +
                             ": at most one of the two offers takes effect");
}

} // namespace

CommandResult publish(const Invocation &I, const CommandContext &C) {
  auto Body = listBody(I);
  if (!Body)
    return usageError(I, Body.error());
  const std::string Target = "/v1/lists/" + I.ListName;
  if (I.ListBase) {
    (*Body)["base"] = *I.ListBase;
  } else if (!Body->contains("base")) {
    CallResult R = C.ServerCaller->call(makeCall(I, "GET", Target));
    auto Version = currentVersion(R);
    if (!Version)
      return failedCall(I, R, true, "");
    (*Body)["base"] = *Version;
  }
  HttpCall Call = makeCall(I, "POST", Target);
  Call.Headers["idempotency-key"] = C.NewKey();
  Call.Headers["content-type"] = "application/json";
  Call.Body = json::serialize(*Body);
  CallResult R = C.ServerCaller->call(Call);
  if (R.succeeded())
    return {ExitCode::Done, render(I, bodyOf(*R.Reply)), ""};
  if (!R.MayHaveTakenEffect)
    return failedCall(I, R, false, "");
  return resolveOutcome(I, C, R, *Body);
}

} // namespace heathersaddle::tool
