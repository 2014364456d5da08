// Responses of the log are checked strictly: a wrong offset would make this
// daemon apply records at the wrong offsets.
#include "Decode.h"
#include "heathersaddle/base/Json.h"

namespace heathersaddle::daemon {

using base::ErrorCode;
using base::JsonReader;
using base::makeError;

/// Upper limit on the hosts in the platform's host list.
static constexpr std::size_t MaxHosts = 100'000;

/// The error for a status outside the protocol. With 4xx the request was
/// certainly rejected; with any other status it may have taken effect.
static tl::unexpected<base::Error> unexpectedStatus(const HttpResult &R,
                                                    std::string_view Step,
                                                    std::string_view Peer) {
  bool Rejected = R->Status >= 400 && R->Status < 500;
  return makeError(Rejected ? ErrorCode::Unavailable : ErrorCode::Unresolved,
                   Step, "status " + std::to_string(R->Status), Peer);
}

base::Expected<std::uint64_t> decodeAppend(const HttpResult &R) {
  static constexpr std::string_view Step = "append";
  if (!R)
    return tl::unexpected(R.error());
  if (R->Status != 200)
    return unexpectedStatus(R, Step, "log");
  auto Value = base::parseJson(R->Body, Step);
  if (!Value)
    return makeError(ErrorCode::Unresolved, Step, "the response is not JSON",
                     "log");
  JsonReader Reader(*Value, Step);
  std::uint64_t First = Reader.unsigned64("first");
  if (Reader.error())
    return makeError(ErrorCode::Unresolved, Step, "the response has no offset",
                     "log");
  return First;
}

base::Expected<control::ReadResult> decodeRead(const HttpResult &R) {
  static constexpr std::string_view Step = "read_log";
  if (!R)
    return tl::unexpected(R.error());
  if (R->Status != 200 && R->Status != 410)
    return unexpectedStatus(R, Step, "log");
  auto Value = base::parseJson(R->Body, Step);
  if (!Value)
    return tl::unexpected(Value.error());
  JsonReader Reader(*Value, Step);
  control::ReadResult Result;
  Result.Trimmed = R->Status == 410;
  Result.Oldest = Reader.unsigned64("oldest");
  Result.Next = Reader.unsigned64("next");
  const auto *Records =
      Reader.array("records", !Result.Trimmed, std::size_t{1} << 20);
  if (Reader.error())
    return tl::unexpected(*Reader.error());
  if (Result.Trimmed)
    return Result;
  for (const auto &Record : *Records) {
    if (!Record.is_string())
      return makeError(ErrorCode::Internal, Step, "a record is not a string",
                       "log", "records");
    const auto &Text = Record.get_string();
    Result.Records.emplace_back(Text.data(), Text.size());
  }
  return Result;
}

static control::HostEntry readHost(JsonReader &Reader) {
  control::HostEntry H;
  H.Name = Reader.string("name", 255);
  H.Address = Reader.string("address", 255);
  H.DataCentre = Reader.string("data_centre", 255);
  H.Rack = Reader.string("rack", 255);
  H.Slots = static_cast<unsigned>(Reader.integer("slots", 1, 64));
  H.Accelerators = static_cast<unsigned>(Reader.integer("accelerators", 0, 64));
  H.Cores = static_cast<unsigned>(Reader.integer("cores", 0, 1 << 20));
  H.MemoryMb =
      static_cast<std::uint64_t>(Reader.integer("memory_mb", 0, 1LL << 40));
  std::string Status = Reader.string("state", 16);
  H.Leaving = Status == "leaving";
  if (Status != "live" && Status != "leaving")
    Reader.fail("state", "must be live or leaving");
  return H;
}

static void readRemovedHosts(JsonReader &Reader,
                             control::HostChanges &Changes) {
  const auto *Names = Reader.array("gone", false, MaxHosts);
  Changes.IsFullList = !Names;
  if (!Names)
    return;
  for (const auto &Name : *Names) {
    if (!Name.is_string())
      return Reader.fail("gone", "must hold names");
    Changes.Removed.emplace_back(Name.get_string());
  }
}

base::Expected<HostsReply> decodeHosts(const HttpResult &R) {
  static constexpr std::string_view Step = "read_hosts";
  if (!R)
    return tl::unexpected(R.error());
  if (R->Status != 200)
    return unexpectedStatus(R, Step, "hosts");
  auto Value = base::parseJson(R->Body, Step);
  if (!Value)
    return tl::unexpected(Value.error());
  JsonReader Outer(*Value, Step);
  HostsReply Reply;
  Reply.Version = Outer.string("version", "", 128);
  readRemovedHosts(Outer, Reply.Changes);
  const auto *Items = Outer.array("hosts", true, MaxHosts);
  if (Outer.error())
    return tl::unexpected(*Outer.error());
  for (const auto &Item : *Items) {
    JsonReader Reader(Item, Step, "hosts.");
    Reply.Changes.Hosts.push_back(readHost(Reader));
    if (Reader.error())
      return tl::unexpected(*Reader.error());
  }
  return Reply;
}

base::Expected<boost::json::value>
decodeReply(const HttpResult &R, std::string_view Step, std::string_view Peer) {
  if (!R)
    return tl::unexpected(R.error());
  if (R->Status == 409)
    return makeError(ErrorCode::Conflict, Step, R->Body, Peer);
  if (R->Status != 200)
    return unexpectedStatus(R, Step, Peer);
  return base::parseJson(R->Body, Step);
}

} // namespace heathersaddle::daemon
