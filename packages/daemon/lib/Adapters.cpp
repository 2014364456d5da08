// An action is handed to a traffic thread, encoded and sent there; the answer
// is decoded there and delivered to the control thread.
#include "Adapters.h"
#include "Decode.h"
#include "heathersaddle/base/Log.h"
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cctype>

namespace heathersaddle::daemon {

using control::Node;

/// Holds any one record, however much JSON's escapes lengthen it (4 times for a
/// snapshot's chunk), and keeps the memory for a read small.
static constexpr std::size_t MaxLogResponseBytes = 4UL * 1024 * 1024;

static net::ClientLimits
limits(std::size_t Connections, std::size_t Queued,
       std::size_t ResponseBytes = net::ClientLimits().MaxResponseBytes) {
  net::ClientLimits L;
  L.MaxResponseBytes = ResponseBytes;
  L.MaxConnections = Connections;
  L.MaxQueued = Queued;
  return L;
}

Adapters::Adapters(const Settings &S, net::Executor &Traffic, Deliver ToNode)
    : LogAddress(S.LogAddress),
      HostsAddress(S.HostsAddress.empty() ? S.LogAddress : S.HostsAddress),
      PeerKey(S.PeerKey), Traffic(Traffic), ToNode(std::move(ToNode)),
      Log(Traffic.context(), limits(4, 16, MaxLogResponseBytes)),
      Hosts(Traffic.context(), limits(1, 4)),
      Commands(Traffic.context(), limits(2, 256)),
      Syncs(Traffic.context(), limits(1, 4)),
      Peers(Traffic.context(), limits(2, 256)) {}

void Adapters::carryOut(control::Action A) {
  if (const auto *Line = std::get_if<control::LogAction>(&A))
    return run(*Line);
  Traffic.post([this, A = std::move(A)] {
    std::visit([this](const auto &What) { run(What); }, A);
  });
}

void Adapters::run(const control::AppendAction &A) {
  boost::json::array Records;
  for (const std::string &Text : A.Records)
    Records.emplace_back(Text);
  net::ClientRequest R;
  R.Method = "POST";
  R.Target = "/v1/streams/" + A.Stream + "/append";
  R.ContentType.clear();
  R.Body = boost::json::serialize(
      boost::json::object{{"records", std::move(Records)}});
  R.TimeLimit = A.TimeLimit;
  Log.send(LogAddress, std::move(R), [this, Call = A.Call](const auto &Got) {
    ToNode([Call, First = decodeAppend(Got)](Node &N, Now T) {
      N.onAppended(Call, First, T);
    });
  });
}

/// Each read that takes too long costs its whole time limit, so few of them
/// must lead from the usual 1,000 records to one.
static constexpr std::uint32_t SlowReadDivisor = 32;

std::uint32_t Adapters::readMax(const control::ReadAction &A) {
  std::lock_guard Lock(Mutex);
  auto Found = ReadMax.find(A.Stream);
  return Found == ReadMax.end() ? A.Max : std::min(A.Max, Found->second);
}

void Adapters::setReadMax(const std::string &Stream, std::uint32_t Max) {
  std::lock_guard Lock(Mutex);
  ReadMax[Stream] = std::clamp(Max, 1U, 1U << 20);
}

void Adapters::run(const control::ReadAction &A) { read(A); }

// A record has up to 64 KiB of input and a snapshot's chunk up to 192 KiB, so
// a full read could take 100 MB. A read that is too large is repeated with half
// as many records, and one that took too long is followed by a much smaller
// one; every later read may have twice as many again.
void Adapters::read(const control::ReadAction &A) {
  std::uint32_t Max = readMax(A);
  net::ClientRequest R;
  R.Target = "/v1/streams/" + A.Stream +
             "/records?from=" + std::to_string(A.From) +
             "&max=" + std::to_string(Max) +
             "&wait_ms=" + std::to_string(A.Wait.count());
  R.TimeLimit = A.TimeLimit;
  Log.send(LogAddress, std::move(R), [this, A, Max](const HttpResult &Got) {
    bool TooLarge = !Got && Got.error().Code == base::ErrorCode::TooLarge;
    bool TooLong = !Got && Got.error().Code == base::ErrorCode::Timeout;
    setReadMax(A.Stream, TooLarge  ? Max / 2
                         : TooLong ? Max / SlowReadDivisor
                                   : Max * 2);
    if (TooLarge && Max > 1)
      return read(A);
    ToNode([Call = A.Call, Result = decodeRead(Got)](Node &N, Now T) {
      N.onRead(Call, Result, T);
    });
  });
}

/// Whether the worker may hold the request; a sync without a wait answers at
/// once and must not queue behind one that waits.
static bool isLongPoll(const control::WorkerAction &A) {
  const boost::json::object *Body = A.Body.if_object();
  const boost::json::value *Wait =
      Body ? Body->if_contains("wait_ms") : nullptr;
  return A.Path == "/v1/sync" && Wait && Wait->is_int64() &&
         Wait->get_int64() > 0;
}

void Adapters::run(const control::WorkerAction &A) {
  net::ClientRequest R;
  R.Method = "POST";
  R.Target = A.Path;
  R.ContentType.clear();
  R.Body = boost::json::serialize(A.Body);
  R.TimeLimit = A.TimeLimit;
  net::HttpClient &Client = isLongPoll(A) ? Syncs : Commands;
  Client.send(A.Address, std::move(R),
              [this, Call = A.Call, Worker = A.Worker](const auto &Got) {
                ToNode(
                    [Call, Reply = decodeReply(Got, "worker", Worker)](
                        Node &N, Now T) { N.onWorkerReply(Call, Reply, T); });
              });
}

void Adapters::run(const control::PeerAction &A) {
  net::ClientRequest R;
  R.Method = "POST";
  R.Target = A.Path;
  R.Headers["x-heathersaddle-peer"] = PeerKey;
  R.ContentType.clear();
  R.Body = boost::json::serialize(A.Body);
  R.TimeLimit = A.TimeLimit;
  Peers.send(A.Address, std::move(R),
             [this, Call = A.Call, Peer = A.Daemon](const auto &Got) {
               ToNode([Call, Reply = decodeReply(Got, "peer", Peer)](
                          Node &N, Now T) { N.onPeerReply(Call, Reply, T); });
             });
}

void Adapters::run(const control::HostsAction &A) {
  net::ClientRequest R;
  R.Target = "/v1/hosts";
  if (std::string Since = hostsVersion(); !Since.empty())
    R.Target += "?since=" + Since;
  R.TimeLimit = A.TimeLimit;
  Hosts.send(HostsAddress, std::move(R),
             [this, Call = A.Call](const auto &Got) {
               auto Reply = decodeHosts(Got);
               if (Reply)
                 setHostsVersion(Reply->Version);
               ToNode([Call, Changes = Reply.map([](HostsReply &R) {
                 return std::move(R.Changes);
               })](Node &N, Now T) { N.onHostChanges(Call, Changes, T); });
             });
}

std::string Adapters::hostsVersion() {
  std::lock_guard Lock(Mutex);
  return HostsVersion;
}

// The version becomes a part of the next request's target.
void Adapters::setHostsVersion(std::string Version) {
  bool Plain = std::all_of(Version.begin(), Version.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '_' || C == '.';
  });
  std::lock_guard Lock(Mutex);
  HostsVersion = Plain ? std::move(Version) : std::string();
}

void Adapters::run(const control::LogAction &A) {
  base::logEvent(A.Event, A.Text);
}

std::vector<Adapters::Bytes> Adapters::bytes() const {
  return {{"log", Log.bytesIn(), Log.bytesOut()},
          {"hosts", Hosts.bytesIn(), Hosts.bytesOut()},
          {"worker", Commands.bytesIn() + Syncs.bytesIn(),
           Commands.bytesOut() + Syncs.bytesOut()},
          {"peer", Peers.bytesIn(), Peers.bytesOut()}};
}

} // namespace heathersaddle::daemon
