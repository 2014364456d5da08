// State::apply dispatches a record to its handler. Cost of a record: O(log n)
// map operations plus the size of the job's placement; worker and list records
// may also assign the homes again, which is bounded by workers times guarantee
// units.

#include "heathersaddle/state/State.h"
#include "Applier.h"
#include "heathersaddle/base/Hash.h"
#include <algorithm>
#include <cassert>
#include <cstdlib>

namespace heathersaddle::state {

namespace {

/// Sequence numbers of writers without a record for this long are removed: no
/// append stays in flight for a day.
constexpr base::WallMs WriterRetentionMs = 24 * 3600 * 1000;
/// A writer's clock that differs by more than this is counted as skewed.
constexpr base::WallMs SkewThresholdMs = 1'000;
/// Expired writers are removed only above this number of writers, to bound the
/// work per record.
constexpr std::size_t MaxWritersBeforeSweep = 4096;

template <class Map>
void removeExpiredWriters(Map &Writers, base::WallMs Clock) {
  if (Writers.size() <= MaxWritersBeforeSweep)
    return;
  std::erase_if(Writers, [&](const auto &Entry) {
    return Clock - Entry.second.LastRecordMs > WriterRetentionMs;
  });
}

} // namespace

State::State() = default;

Verdict State::apply(std::uint64_t Offset, std::string_view Text) {
  base::Expected<Record> R = decode(Text);
  if (R)
    return apply(Offset, *R);
  // No daemon can decode this text, so all of them skip it.
  assert(Offset == NextOffset);
  NextOffset = Offset + 1;
  Verdict V;
  V.Why = R.error();
  return V;
}

Verdict State::apply(std::uint64_t Offset, const Record &R) {
  assert(Offset == NextOffset);
  NextOffset = Offset + 1;
  return Applier(*this, R, Offset).run();
}

Verdict Applier::run() {
  State::WriterProgress &Progress = CurrentState.Writers[CurrentRecord.Writer];
  if (CurrentRecord.Sequence <= Progress.LastSequence) {
    CurrentVerdict.Duplicate = true;
    CurrentVerdict.Why = base::Error{
        base::ErrorCode::Conflict, "apply", "",
        "the writer's sequence number is not above its last one", ""};
    return CurrentVerdict;
  }
  base::WallMs Limit = CurrentState.Clock + MaxClockStepMs;
  CurrentState.Clock =
      std::max(CurrentState.Clock, CurrentState.Clock == 0
                                       ? CurrentRecord.At
                                       : std::min(CurrentRecord.At, Limit));
  if (std::abs(CurrentRecord.At - CurrentState.Clock) > SkewThresholdMs)
    CurrentState.Burn.recordSkew(CurrentState.Clock);
  Progress.LastSequence = CurrentRecord.Sequence;
  Progress.LastRecordMs = CurrentState.Clock;
  removeExpiredWriters(CurrentState.Writers, CurrentState.Clock);
  Result Done =
      std::visit([this](const auto &B) { return on(B); }, CurrentRecord.What);
  CurrentVerdict.Applied = Done.has_value();
  if (!Done)
    CurrentVerdict.Why = Done.error();
  return CurrentVerdict;
}

std::uint64_t State::lastSequence(std::uint64_t Writer) const {
  auto Progress = Writers.find(Writer);
  return Progress == Writers.end() ? 0 : Progress->second.LastSequence;
}

const Job *State::job(std::string_view Id) const {
  auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

const Cell *State::cell(std::string_view Name) const {
  auto Found = Cells.find(Name);
  return Found == Cells.end() ? nullptr : &Found->second;
}

std::uint64_t State::version(ListKind Kind) const {
  return Versions[static_cast<std::size_t>(Kind)];
}

std::uint64_t State::versionOffset(ListKind Kind) const {
  return VersionOffsets[static_cast<std::size_t>(Kind)];
}

const Plan *State::terms(std::string_view Account) const {
  if (auto Kept = HeldTermsByAccount.find(Account);
      Kept != HeldTermsByAccount.end())
    return &Kept->second.Terms;
  auto Customer = Customers.find(Account);
  if (Customer == Customers.end() || Customer->second.Departed)
    return nullptr;
  auto Plan = Plans.find(Customer->second.Plan);
  return Plan == Plans.end() ? nullptr : &Plan->second;
}

bool State::departed(std::string_view Account) const {
  if (HeldTermsByAccount.count(Account))
    return true;
  auto Customer = Customers.find(Account);
  return Customer != Customers.end() && Customer->second.Departed;
}

std::size_t State::liveJobs(std::string_view Account) const {
  auto Found = LiveJobsByAccount.find(Account);
  return Found == LiveJobsByAccount.end() ? 0 : Found->second;
}

std::string State::digest() const { return base::sha256Hex(serialize()); }

} // namespace heathersaddle::state
