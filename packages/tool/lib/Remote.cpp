// Builds calls and converts their failures into output and an exit code.

#include "Remote.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/tool/Render.h"

namespace heathersaddle::tool {

namespace json = boost::json;

std::string render(const Invocation &I, const json::value &Value) {
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

std::string textField(const json::value &Body, std::string_view Name) {
  const json::object *O = Body.if_object();
  const json::value *V = O ? O->if_contains(Name) : nullptr;
  return V && V->is_string() ? std::string(V->as_string()) : std::string();
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
  (I.Format == Output::Json ? Result.Out : Result.Err) = render(I, Body);
  return Result;
}

CommandResult failedCall(const Invocation &I, const CallResult &R,
                         bool ReadOnly, const std::string &Key) {
  if (R.MayHaveTakenEffect && !ReadOnly) {
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

} // namespace heathersaddle::tool
