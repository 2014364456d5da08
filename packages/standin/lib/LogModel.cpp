// Each stream is a deque of records and the offset of its first element.
// Bounds: MaxStreams streams; batches and pages as in the header.
#include "heathersaddle/standin/LogModel.h"
#include <algorithm>

namespace heathersaddle::standin {

using base::ErrorCode;
using base::makeError;

static bool validStream(std::string_view Name) {
  if (Name.empty() || Name.size() > 64)
    return false;
  return std::all_of(Name.begin(), Name.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
           C == '_';
  });
}

static bool withinLimits(std::span<const std::string> Records) {
  std::size_t Bytes = 0;
  for (const std::string &R : Records)
    Bytes += R.size();
  return Records.size() <= MaxBatchRecords && Bytes <= MaxBatchBytes;
}

base::Expected<std::uint64_t>
LogModel::append(std::string_view Stream, std::span<const std::string> Records,
                 base::WallMs Now) {
  if (!validStream(Stream))
    return makeError(ErrorCode::InvalidArgument, "append",
                     "the stream name is not valid");
  if (Records.empty())
    return makeError(ErrorCode::InvalidArgument, "append",
                     "there are no records", {}, "records");
  if (!withinLimits(Records))
    return makeError(ErrorCode::TooLarge, "append", "the batch is too large",
                     {}, "records");
  if (Faults.Down)
    return makeError(ErrorCode::Unavailable, "append", "the log is down");
  auto It = Streams.find(Stream);
  if (It == Streams.end()) {
    if (Streams.size() >= MaxStreams)
      return makeError(ErrorCode::ResourceExhausted, "append",
                       "there are too many streams");
    It = Streams.emplace(std::string(Stream), StreamData{}).first;
  }
  StreamData &S = It->second;
  std::uint64_t First = S.Oldest + S.Entries.size();
  for (const std::string &R : Records)
    S.Entries.push_back({R, Now});
  if (Faults.LoseAnswers)
    return makeError(ErrorCode::Unresolved, "append", "the answer was lost");
  return First;
}

base::Expected<LogPage> LogModel::read(std::string_view Stream,
                                       std::uint64_t From,
                                       std::size_t Max) const {
  if (!validStream(Stream))
    return makeError(ErrorCode::InvalidArgument, "read",
                     "the stream name is not valid");
  if (Faults.Down)
    return makeError(ErrorCode::Unavailable, "read", "the log is down");
  LogPage Page;
  auto It = Streams.find(Stream);
  if (It == Streams.end())
    return Page;
  const StreamData &S = It->second;
  Page.Oldest = S.Oldest;
  Page.Next = S.Oldest + S.Entries.size();
  Page.Trimmed = From < S.Oldest;
  if (Page.Trimmed || From >= Page.Next)
    return Page;
  std::size_t Begin = From - S.Oldest;
  std::size_t Count = std::min({Max, MaxReadRecords, S.Entries.size() - Begin});
  Page.Records.reserve(Count);
  for (std::size_t I = 0; I != Count; ++I)
    Page.Records.push_back(S.Entries[Begin + I].Text);
  return Page;
}

void LogModel::trimBefore(std::string_view Stream, std::uint64_t Offset) {
  auto It = Streams.find(Stream);
  if (It == Streams.end())
    return;
  StreamData &S = It->second;
  while (S.Oldest < Offset && !S.Entries.empty()) {
    S.Entries.pop_front();
    ++S.Oldest;
  }
}

void LogModel::trimOlderThan(std::string_view Stream, base::WallMs Time) {
  auto It = Streams.find(Stream);
  if (It == Streams.end())
    return;
  StreamData &S = It->second;
  while (!S.Entries.empty() && S.Entries.front().AppendedAt < Time) {
    S.Entries.pop_front();
    ++S.Oldest;
  }
}

} // namespace heathersaddle::standin
