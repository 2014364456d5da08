// The model decides the results; this class adds long polls, timed faults and
// the errors that an HTTP client would report. A 503 is Unresolved for an
// append, since the platform also sends it after the append took effect.
#include "LogHost.h"
#include "heathersaddle/state/Record.h"

namespace heathersaddle::fuzz {

using base::ErrorCode;
using base::makeError;

template <class T>
void LogHost::answer(const Reply<T> &Done, base::Expected<T> R) {
  if (Sim.now() >= SlowUntil)
    return Done(std::move(R));
  Sim.after(Millis(Rng.within(200, 4'000)),
            [Done, R = std::move(R)] { Done(R); });
}

void LogHost::append(const control::AppendAction &A,
                     const Reply<std::uint64_t> &Done) {
  if (isDown())
    return answer<std::uint64_t>(
        Done, makeError(ErrorCode::Unresolved, "append", "the log is down"));
  std::vector<std::string> Records = A.Records;
  if (A.Stream == "snapshots" && Sim.now() < DamagesSnapshotsUntil)
    damage(Records);
  auto First = Model.append(A.Stream, Records, Sim.now().count());
  if (First && A.Stream == "control")
    observeControlRecords(*First, A.Records);
  if (First)
    serveWaiters(A.Stream);
  if (Sim.now() >= LosesAnswersUntil)
    return answer(Done, First);
  if (Rng.chance(50)) // Otherwise the call ends at its time limit.
    answer<std::uint64_t>(Done, makeError(ErrorCode::Unresolved, "append",
                                          "the answer was lost"));
}

// Changes one digit of the serialized state, so that it mostly stays
// well-formed.
void LogHost::damage(std::vector<std::string> &Chunks) {
  for (std::string &Text : Chunks) {
    std::size_t Covered = Text.find("\"covered\":");
    std::size_t Data = Text.find("\"data\":");
    if (Covered == std::string::npos || Data == std::string::npos)
      continue;
    DamagedSnapshots.insert(std::strtoull(&Text[Covered + 10], nullptr, 10));
    std::size_t From = Data + Rng.below(Text.size() - Data);
    std::size_t Digit = Text.find_first_of("123456789", From);
    if (Digit != std::string::npos)
      Text[Digit] = Text[Digit] == '9' ? '1' : char(Text[Digit] + 1);
  }
}

void LogHost::observeControlRecords(std::uint64_t First,
                                    const std::vector<std::string> &Texts) {
  for (std::size_t I = 0; I != Texts.size(); ++I) {
    auto R = state::decode(Texts[I]);
    if (R)
      if (auto *S = std::get_if<state::SnapshotTaken>(&R->What))
        if (!DamagedSnapshots.contains(S->Covered))
          CoveredOffset = std::max(CoveredOffset, S->Covered);
    OnRecord(First + I, Texts[I]);
  }
}

base::Expected<control::ReadResult>
LogHost::page(const control::ReadAction &A) const {
  auto Page = Model.read(A.Stream, A.From, A.Max);
  if (!Page)
    return tl::unexpected(Page.error());
  return control::ReadResult{Page->Oldest, Page->Next, Page->Trimmed,
                             std::move(Page->Records)};
}

void LogHost::read(const control::ReadAction &A,
                   Reply<control::ReadResult> Done) {
  if (isDown())
    return answer<control::ReadResult>(
        Done, makeError(ErrorCode::Unavailable, "read", "the log is down"));
  auto Page = page(A);
  if (!Page || Page->Trimmed || !Page->Records.empty() || A.Wait.count() == 0)
    return answer(Done, std::move(Page));
  std::uint64_t Id = NextWaiter++;
  Waiters.push_back({Id, A, std::move(Done)});
  Sim.after(A.Wait, [this, Id] { expire(Id); });
}

void LogHost::serveWaiters(const std::string &Stream) {
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    auto Page = page(It->Request);
    if (It->Request.Stream != Stream || !Page || Page->Records.empty()) {
      ++It;
      continue;
    }
    answer(It->Done, std::move(Page));
    It = Waiters.erase(It);
  }
}

void LogHost::expire(std::uint64_t Id) {
  for (auto It = Waiters.begin(); It != Waiters.end(); ++It) {
    if (It->Id != Id)
      continue;
    if (!isDown())
      answer(It->Done, page(It->Request));
    Waiters.erase(It);
    return;
  }
}

void LogHost::heal() {
  for (Millis *Until :
       {&DownUntil, &LosesAnswersUntil, &SlowUntil, &DamagesSnapshotsUntil})
    *Until = std::min(*Until, Sim.now());
}

void LogHost::trim() { Model.trimBefore("control", CoveredOffset); }

} // namespace heathersaddle::fuzz
