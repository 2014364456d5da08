// Approach: a snapshot is the serialized state, cut into chunks that carry id,
// index, count, covered offset and the hash of the whole text. A reader keeps a
// few incomplete snapshots and the newest complete one.
// Bounds: MaxIncomplete incomplete snapshots, MaxChunks chunks, ChunkBytes
// each.
#include "Snapshots.h"
#include "heathersaddle/base/Hash.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/base/TestSwitches.h"

namespace heathersaddle::control {

namespace {
constexpr std::size_t ChunkBytes = 192 * 1024;
constexpr std::size_t MaxChunks = 4'096;
constexpr std::size_t MaxIncomplete = 3;
constexpr base::Millis WriteRetryDelay{10'000};
} // namespace

std::vector<std::string> snapshotChunks(std::string_view Id,
                                        std::uint64_t Covered,
                                        std::string_view Text) {
  std::size_t Count =
      std::max<std::size_t>(1, (Text.size() + ChunkBytes - 1) / ChunkBytes);
  std::string Hash = base::sha256Hex(Text);
  std::vector<std::string> Chunks;
  for (std::size_t I = 0; I < Count; ++I) {
    std::string_view Part = Text.substr(I * ChunkBytes, ChunkBytes);
    json::object O{{"id", json::string(Id.data(), Id.size())},
                   {"index", I},
                   {"count", Count},
                   {"covered", Covered},
                   {"hash", Hash},
                   {"data", json::string(Part.data(), Part.size())}};
    Chunks.push_back(json::serialize(O));
  }
  return Chunks;
}

void SnapshotCollector::add(std::string_view ChunkText) {
  auto Value = base::parseJson(ChunkText, "read snapshots");
  if (!Value)
    return;
  base::JsonReader R(*Value, "read snapshots");
  std::string Id = R.string("id", 128);
  auto Count = std::size_t(R.integer("count", 1, MaxChunks));
  auto Index = std::size_t(R.integer("index", 0, std::int64_t(Count) - 1));
  auto Covered = std::uint64_t(R.integer("covered", 0, INT64_MAX));
  std::string Hash = R.string("hash", 64);
  std::string Data = R.string("data", 2 * ChunkBytes);
  if (R.error() || (!Newest.empty() && Covered < NewestCovered))
    return;
  Partial &P = Incomplete[Id];
  if (P.Parts.empty())
    P = {Covered, Hash, std::vector<std::string>(Count), Count, ++Order};
  if (P.Parts.size() != Count || !P.Parts[Index].empty())
    return;
  P.Parts[Index] = std::move(Data);
  if (--P.Missing == 0) {
    complete(P);
    Incomplete.erase(Id);
  }
  while (Incomplete.size() > MaxIncomplete)
    Incomplete.erase(std::min_element(
        Incomplete.begin(), Incomplete.end(),
        [](auto &A, auto &B) { return A.second.Order < B.second.Order; }));
}

void SnapshotCollector::complete(const Partial &P) {
  std::string Text;
  for (const std::string &Part : P.Parts)
    Text += Part;
  if (base::enforced(base::SafetyRule::SnapshotCheck) &&
      base::sha256Hex(Text) != P.Hash)
    return;
  Newest = std::move(Text);
  NewestCovered = P.Covered;
}

void SnapshotCollector::clear() { *this = SnapshotCollector(); }

void SnapshotWriter::onSnapshotTaken(std::uint64_t Offset) {
  LastCovered = std::max(LastCovered, Offset);
  LastSnapshotAt = NodeCore.now();
}

void SnapshotWriter::onRestored(std::uint64_t Offset) {
  Chunks.clear();
  Call = 0;
  LastCovered = Offset;
  LastSnapshotAt = NodeCore.now();
}

void SnapshotWriter::tick(bool Responsible) {
  if (!Responsible || !Chunks.empty() || NodeCore.now() < RetryAt)
    return;
  std::uint64_t Since = NodeCore.State.nextOffset() - LastCovered;
  bool Due = Since >= NodeCore.Settings.SnapshotRecords ||
             (Since > 0 && NodeCore.now() - LastSnapshotAt >=
                               NodeCore.Settings.SnapshotPeriod);
  if (Due)
    begin();
}

void SnapshotWriter::begin() {
  Covered = NodeCore.State.nextOffset();
  Id = std::to_string(NodeCore.Settings.Incarnation) + "-" +
       std::to_string(Covered);
  Chunks = snapshotChunks(Id, Covered, NodeCore.State.serialize());
  NextChunk = 0;
  sendNext();
}

void SnapshotWriter::sendNext() {
  Call = ++NodeCore.LastCall;
  NodeCore.Actions.emplace_back(AppendAction{
      Call, "snapshots", {Chunks[NextChunk]}, NodeCore.Settings.CallTimeout});
}

void SnapshotWriter::onAppended(std::uint64_t ResultCall,
                                const base::Expected<std::uint64_t> &R) {
  if (ResultCall == 0 || ResultCall != Call)
    return;
  Call = 0;
  // After a failed append, for example a lost response, the whole snapshot is
  // written again later; readers ignore repeated chunks.
  RetryAt = NodeCore.now() + WriteRetryDelay;
  if (!R) {
    Chunks.clear();
    return;
  }
  if (++NextChunk < Chunks.size()) {
    sendNext();
    return;
  }
  Chunks.clear();
  NodeCore.log(EventSnapshotWritten, "snapshot " + Id + " written");
  Queue.push(state::SnapshotTaken{Id, Covered}, nullptr);
}

} // namespace heathersaddle::control
