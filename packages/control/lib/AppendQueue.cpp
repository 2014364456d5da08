// Approach: at most one append is in flight; records queued meanwhile form the
// next batch. A batch without a response is repeated with the same sequence
// numbers. When the limit of one of its records is over, a noop with a higher
// sequence number (a fence) is appended instead: once the fence has been
// applied, records with lower numbers that have not been read back can no
// longer take effect. Those are dropped, or queued again under new numbers
// when their result is still wanted.
// Bounds: MaxQueuedRecords entries, BatchRecords and BatchBytes per append.
#include "AppendQueue.h"

namespace heathersaddle::control {

namespace {
constexpr base::Millis RetryBaseDelay{100};
constexpr base::Millis RetryMaxDelay{5'000};
} // namespace

void AppendQueue::report(Entry &E, const AppendResult &Result) {
  if (auto Done = std::exchange(E.Done, nullptr))
    Done(Result);
}

bool AppendQueue::push(state::Body Body, AppendHandler Done,
                       base::Millis Limit) {
  if (Waiting.size() + Sent.size() >= NodeCore.Settings.MaxQueuedRecords)
    return false;
  Entry E{std::move(Body), {}, 0, std::move(Done)};
  if (Limit.count() > 0)
    E.Expires = NodeCore.now() + Limit;
  Waiting.push_back(std::move(E));
  return true;
}

void AppendQueue::sendIfDue() {
  if (CurrentPhase == Phase::Unresolved && batchResolved()) {
    // The log took the batch although the responses were lost. Without this
    // check a node with nothing else to append would report an outage for ever.
    CurrentPhase = Phase::Idle;
    Failures = 0;
  }
  if (CurrentPhase == Phase::Unresolved && NodeCore.now() >= RetryAt) {
    if (batchHasExpiredEntry())
      sendFence();
    else
      sendAppend();
  }
  if (CurrentPhase == Phase::Idle && !Waiting.empty())
    sendBatch();
}

bool AppendQueue::batchResolved() const {
  return Sent.empty() || Sent.back().Sequence < BatchFirstSequence;
}

bool AppendQueue::batchHasExpiredEntry() const {
  return std::any_of(Sent.begin(), Sent.end(), [&](const Entry &E) {
    return E.Sequence >= BatchFirstSequence && E.Expires <= NodeCore.now();
  });
}

void AppendQueue::sendBatch() {
  Batch.clear();
  BatchFirstSequence = LastSequence + 1;
  std::size_t Bytes = 0;
  while (!Waiting.empty() && Batch.size() < NodeCore.Settings.BatchRecords) {
    Entry &E = Waiting.front();
    E.Text = state::encode({NodeCore.Settings.Incarnation, LastSequence + 1,
                            NodeCore.CurrentTime.Wall, E.Body});
    if (!Batch.empty() && Bytes + E.Text.size() > NodeCore.Settings.BatchBytes)
      break;
    Bytes += E.Text.size();
    E.Sequence = ++LastSequence;
    Batch.push_back(std::move(E.Text));
    Sent.push_back(std::move(E));
    Waiting.pop_front();
  }
  sendAppend();
}

void AppendQueue::sendFence() {
  Entry E{state::Noop{}, {}, ++LastSequence, nullptr};
  Batch = {state::encode({NodeCore.Settings.Incarnation, LastSequence,
                          NodeCore.CurrentTime.Wall, E.Body})};
  BatchFirstSequence = LastSequence;
  Sent.push_back(std::move(E));
  sendAppend();
}

void AppendQueue::sendAppend() {
  Call = ++NodeCore.LastCall;
  CurrentPhase = Phase::InFlight;
  NodeCore.Actions.emplace_back(
      AppendAction{Call, "control", Batch, NodeCore.Settings.CallTimeout});
}

void AppendQueue::onAppended(std::uint64_t ResultCall,
                             const base::Expected<std::uint64_t> &R) {
  if (ResultCall != Call || CurrentPhase != Phase::InFlight)
    return;
  if (R) {
    Failures = 0;
    CurrentPhase = Phase::Idle;
    return;
  }
  CurrentPhase = Phase::Unresolved;
  RetryAt = NodeCore.now() +
            NodeCore.backoff(Failures, RetryBaseDelay, RetryMaxDelay);
  ++Failures;
  ReadRequested = true;
}

void AppendQueue::onApplied(const state::Record &R, std::uint64_t Offset,
                            const state::Verdict &V) {
  if (R.Writer != NodeCore.Settings.Incarnation || V.Duplicate)
    return;
  std::deque<Entry> Requeued;
  while (!Sent.empty() && Sent.front().Sequence < R.Sequence) {
    Entry E = std::move(Sent.front());
    Sent.pop_front();
    if (E.Done && E.Expires > NodeCore.now())
      Requeued.push_back(std::move(E));
    else
      report(E, {AppendStatus::Dropped, 0, {}});
  }
  if (!Sent.empty() && Sent.front().Sequence == R.Sequence) {
    Entry E = std::move(Sent.front());
    Sent.pop_front();
    report(E, {V.Applied ? AppendStatus::Applied : AppendStatus::Voided, Offset,
               V});
  }
  while (!Requeued.empty()) {
    Waiting.push_front(std::move(Requeued.back()));
    Requeued.pop_back();
  }
}

void AppendQueue::onRestored() {
  std::uint64_t Covered =
      NodeCore.State.lastSequence(NodeCore.Settings.Incarnation);
  while (!Sent.empty() && Sent.front().Sequence <= Covered) {
    Entry E = std::move(Sent.front());
    Sent.pop_front();
    report(E, {AppendStatus::Unresolved, 0, {}});
  }
}

void AppendQueue::expire() {
  auto Late = [&](const Entry &E) { return E.Expires <= NodeCore.now(); };
  std::vector<Entry> Expired;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (!Late(*It)) {
      ++It;
      continue;
    }
    Expired.push_back(std::move(*It));
    It = Waiting.erase(It);
  }
  for (Entry &E : Expired)
    report(E, {AppendStatus::Dropped, 0, {}});
  std::vector<AppendHandler> Open;
  for (Entry &E : Sent)
    if (E.Done && Late(E))
      Open.push_back(std::exchange(E.Done, nullptr));
  for (AppendHandler &Done : Open)
    Done({AppendStatus::Unresolved, 0, {}});
}

void AppendQueue::abandon() {
  std::deque<Entry> Unsent = std::exchange(Waiting, {});
  std::deque<Entry> Open = std::exchange(Sent, {});
  CurrentPhase = Phase::Idle;
  for (Entry &E : Unsent)
    report(E, {AppendStatus::Dropped, 0, {}});
  for (Entry &E : Open)
    report(E, {AppendStatus::Unresolved, 0, {}});
}

} // namespace heathersaddle::control
