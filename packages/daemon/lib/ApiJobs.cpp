// Handlers for callers' requests about jobs.
#include "Call.h"
#include "heathersaddle/base/Hash.h"
#include "heathersaddle/base/Json.h"
#include <algorithm>
#include <charconv>

namespace heathersaddle::daemon {

using base::ErrorCode;
using base::JsonReader;

static constexpr std::size_t MaxJobIdBytes = 128;
static constexpr std::int64_t MaxCores = 65'536;
static constexpr std::int64_t MaxMemoryMb = 1LL << 30;

/// Reads "accelerators": a number per task, or a boolean that says whether each
/// slot needs one.
static std::int64_t readAccelerators(JsonReader &R, std::int64_t Slots) {
  const boost::json::value *Value = R.find("accelerators");
  if (Value && Value->is_bool())
    return Value->as_bool() ? Slots : 0;
  return R.integerOr("accelerators", Slots, 0, pool::MaxSlots);
}

static pool::Shape readShape(const boost::json::value &Value,
                             const JsonReader &Outer, base::Error &Fault) {
  pool::Shape S;
  JsonReader R(Value, "submit", "shape.");
  S.Tasks = static_cast<unsigned>(R.integerOr("tasks", 1, 1, pool::MaxTasks));
  std::int64_t Slots = R.integerOr("slots", 1, 1, pool::MaxSlots);
  std::int64_t Accelerators = readAccelerators(R, Slots);
  if (R.find("slots") && Accelerators > Slots)
    R.fail("accelerators", "must not be above slots, which hold one each");
  S.SlotsPerTask = static_cast<unsigned>(std::max(Slots, Accelerators));
  S.Accelerators = Accelerators > 0;
  std::string Within = R.string("within", "none", 16);
  if (Within == "worker")
    S.Within = pool::Adjacency::Worker;
  else if (Within == "rack")
    S.Within = pool::Adjacency::Rack;
  else if (Within != "none")
    R.fail("within", "must be none, worker or rack");
  R.allowOnly({"tasks", "accelerators", "slots", "within"});
  if (R.error() && !Outer.error())
    Fault = *R.error();
  return S;
}

static base::Expected<void> checkIdempotencyKey(std::string_view Key) {
  if (Key.size() <= MaxIdempotencyKeyBytes &&
      std::all_of(Key.begin(), Key.end(),
                  [](unsigned char C) { return C > 0x20 && C < 0x7f; }))
    return {};
  return base::makeError(ErrorCode::InvalidArgument, "submit",
                         "must have 1 to 128 visible ASCII characters", "",
                         "idempotency-key");
}

base::Expected<Submission> readSubmission(std::string_view Body,
                                          std::string_view Key,
                                          std::string_view Account) {
  if (auto Valid = checkIdempotencyKey(Key); !Valid)
    return tl::unexpected(Valid.error());
  auto Value = base::parseJson(Body, "submit");
  if (!Value)
    return tl::unexpected(Value.error());
  Submission S;
  state::JobSpec &Spec = S.Request.Spec;
  base::Error Fault;
  JsonReader R(*Value, "submit");
  if (const auto *Shape = R.find("shape"))
    Spec.Shape = readShape(*Shape, R, Fault);
  else
    R.fail("shape", "is required");
  Spec.Kind = R.string("kind", MaxKindBytes);
  if (Spec.Kind.empty())
    R.fail("kind", "must not be empty");
  Spec.Input = R.string("input", "", state::MaxInputBytes);
  Spec.Idempotent = R.booleanOr("idempotent", false);
  Spec.Urgent = R.booleanOr("urgent", false);
  S.DeadlineAfterMs = R.integerOr("deadline_ms", 0, 1, MaxDurationMs);
  Spec.RunTimeMs = R.integerOr("run_time_ms", 0, 1, MaxDurationMs);
  S.Cores = static_cast<unsigned>(R.integerOr("cores", 0, 1, MaxCores));
  S.MemoryMb =
      static_cast<std::uint64_t>(R.integerOr("memory_mb", 0, 1, MaxMemoryMb));
  R.allowOnly({"shape", "kind", "input", "idempotent", "urgent", "deadline_ms",
               "run_time_ms", "cores", "memory_mb"});
  if (!Fault.Field.empty())
    return tl::unexpected(Fault);
  if (R.error())
    return tl::unexpected(*R.error());
  Spec.Account = Account;
  Spec.Digest = base::sha256Hex(Body);
  S.Request.Key = Key;
  return S;
}

void Api::submit(const std::shared_ptr<Call> &C) {
  auto Key = C->Request.Headers.find("idempotency-key");
  bool HasKey = Key != C->Request.Headers.end();
  if (HasKey && Key->second.empty())
    return C->reject("input", {ErrorCode::InvalidArgument, "submit", "",
                               "must not be empty", "idempotency-key"});
  auto S =
      readSubmission(C->Request.Body, HasKey ? Key->second : "", C->Account);
  if (!S)
    return C->reject("input", S.error());
  Ops.Submit(std::move(*S),
             [C](const base::Expected<control::SubmitResult> &R) {
               if (!R)
                 return C->fail(R.error());
               C->sendJson(202, boost::json::object{{"job", R->Job},
                                                    {"status", "accepted"},
                                                    {"repeat", R->Repeat}});
             });
}

/// Whether \p Id is a well-formed job ID. A request with a malformed one gets
/// the same response as for an unknown job.
static bool isJobId(std::string_view Id) {
  return Id.size() <= MaxJobIdBytes &&
         std::all_of(Id.begin(), Id.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_' || C == '.';
         });
}

/// Responds with the job. Unknown jobs and jobs of other accounts get the same
/// response, so that no account learns which jobs others have.
static JsonCompletion respondWithJob(const std::shared_ptr<Api::Call> &C) {
  return [C](const base::Expected<boost::json::value> &R) {
    if (R)
      return C->sendJson(200, *R);
    if (R.error().Code == ErrorCode::NotFound ||
        R.error().Code == ErrorCode::PermissionDenied)
      return C->fail(ErrorCode::NotFound, "the job is not known");
    C->fail(R.error());
  };
}

void Api::fetch(const std::shared_ptr<Call> &C) {
  std::int64_t Wait = 0;
  for (const auto &[Name, Value] : C->Request.Query) {
    if (Name != "wait_ms")
      return C->reject("input", {ErrorCode::InvalidArgument, "fetch", "",
                                 "is not a known parameter", Name});
    auto [End, Ec] =
        std::from_chars(Value.data(), Value.data() + Value.size(), Wait);
    if (Ec != std::errc() || End != Value.data() + Value.size() || Wait < 0 ||
        Wait > Settings.MaxWait.count())
      return C->reject("input", {ErrorCode::InvalidArgument, "fetch", "",
                                 "must be within 0 and " +
                                     std::to_string(Settings.MaxWait.count()),
                                 "wait_ms"});
  }
  if (!isJobId(C->PathArgument))
    return C->fail(ErrorCode::NotFound, "the job is not known");
  Ops.Fetch(C->PathArgument, C->Account, base::Millis(Stopping ? 0 : Wait),
            respondWithJob(C));
}

void Api::cancel(const std::shared_ptr<Call> &C) {
  if (!isJobId(C->PathArgument))
    return C->fail(ErrorCode::NotFound, "the job is not known");
  Ops.Cancel(C->PathArgument, C->Account, respondWithJob(C));
}

void Api::explain(const std::shared_ptr<Call> &C) {
  if (!isJobId(C->PathArgument))
    return C->fail(ErrorCode::NotFound, "the job is not known");
  Ops.Explain(C->PathArgument, C->Account, respondWithJob(C));
}

} // namespace heathersaddle::daemon
