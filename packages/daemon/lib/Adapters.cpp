// An action is posted to a traffic thread, which encodes and sends the request.
// The response is decoded on a traffic thread too, and the result is posted to
// the control thread.
#include "Adapters.h"
#include "Decode.h"
#include "heathersaddle/base/Log.h"
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cctype>

namespace heathersaddle::daemon {

using control::Node;

/// Large enough for any single record, even when JSON escapes lengthen it (4
/// times for a snapshot chunk), and small enough to bound the memory of a read.
static constexpr std::size_t MaxLogResponseBytes = 4UL * 1024 * 1024;

static net::ClientLimits
clientLimits(std::size_t Connections, std::size_t Queued,
             std::size_t ResponseBytes = net::ClientLimits().MaxResponseBytes) {
  net::ClientLimits L;
  L.MaxResponseBytes = ResponseBytes;
  L.MaxConnections = Connections;
  L.MaxQueuedRequests = Queued;
  return L;
}

Adapters::Adapters(const Settings &S, net::Executor &TrafficExecutor,
                   NodePoster PostToNode)
    : LogAddress(S.LogAddress),
      HostsAddress(S.HostsAddress.empty() ? S.LogAddress : S.HostsAddress),
      PeerKey(S.PeerKey), TrafficExecutor(TrafficExecutor),
      PostToNode(std::move(PostToNode)),
      LogClient(TrafficExecutor.context(),
                clientLimits(4, 16, MaxLogResponseBytes)),
      HostsClient(TrafficExecutor.context(), clientLimits(1, 4)),
      CommandClient(TrafficExecutor.context(), clientLimits(2, 256)),
      LongPollClient(TrafficExecutor.context(), clientLimits(1, 4)),
      PeerClient(TrafficExecutor.context(), clientLimits(2, 256)) {}

void Adapters::execute(control::Action A) {
  if (const auto *Line = std::get_if<control::LogAction>(&A))
    return run(*Line);
  TrafficExecutor.post([this, A = std::move(A)] {
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
  LogClient.send(
      LogAddress, std::move(R), [this, Call = A.Call](const auto &Response) {
        PostToNode([Call, FirstOffset = decodeAppend(Response)](
                       Node &N, Now T) { N.onAppended(Call, FirstOffset, T); });
      });
}

/// A read that times out costs its whole time limit, so only a few timeouts may
/// be needed to get from the usual 1,000 records down to one.
static constexpr std::uint32_t SlowReadDivisor = 32;

std::uint32_t Adapters::maxRecordsPerRead(const control::ReadAction &A) {
  std::lock_guard Lock(Mutex);
  auto Found = MaxRecordsPerRead.find(A.Stream);
  return Found == MaxRecordsPerRead.end() ? A.Max
                                          : std::min(A.Max, Found->second);
}

void Adapters::setMaxRecordsPerRead(const std::string &Stream,
                                    std::uint32_t Max) {
  std::lock_guard Lock(Mutex);
  MaxRecordsPerRead[Stream] = std::clamp(Max, 1U, 1U << 20);
}

void Adapters::run(const control::ReadAction &A) { read(A); }

// A record contains up to 64 KiB of input and a snapshot chunk up to 192 KiB,
// so a read of the full number of records could take 100 MB. A read whose
// response is too large is repeated with half as many records. After a timeout,
// the next read requests 1/SlowReadDivisor as many. After any other result the
// limit doubles.
void Adapters::read(const control::ReadAction &A) {
  std::uint32_t Max = maxRecordsPerRead(A);
  net::ClientRequest R;
  R.Target = "/v1/streams/" + A.Stream +
             "/records?from=" + std::to_string(A.From) +
             "&max=" + std::to_string(Max) +
             "&wait_ms=" + std::to_string(A.Wait.count());
  R.TimeLimit = A.TimeLimit;
  LogClient.send(
      LogAddress, std::move(R), [this, A, Max](const HttpResult &Response) {
        bool TooLarge =
            !Response && Response.error().Code == base::ErrorCode::TooLarge;
        bool TimedOut =
            !Response && Response.error().Code == base::ErrorCode::Timeout;
        setMaxRecordsPerRead(A.Stream, TooLarge   ? Max / 2
                                       : TimedOut ? Max / SlowReadDivisor
                                                  : Max * 2);
        if (TooLarge && Max > 1)
          return read(A);
        PostToNode([Call = A.Call, Result = decodeRead(Response)](
                       Node &N, Now T) { N.onRead(Call, Result, T); });
      });
}

/// Whether the worker may hold the request. A sync without a wait is answered
/// at once and must not queue behind a long poll.
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
  net::HttpClient &Client = isLongPoll(A) ? LongPollClient : CommandClient;
  Client.send(A.Address, std::move(R),
              [this, Call = A.Call, Worker = A.Worker](const auto &Response) {
                PostToNode(
                    [Call, Reply = decodeReply(Response, "worker", Worker)](
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
  PeerClient.send(A.Address, std::move(R),
                  [this, Call = A.Call, Peer = A.Daemon](const auto &Response) {
                    PostToNode(
                        [Call, Reply = decodeReply(Response, "peer", Peer)](
                            Node &N, Now T) { N.onPeerReply(Call, Reply, T); });
                  });
}

void Adapters::run(const control::HostsAction &A) {
  net::ClientRequest R;
  R.Target = "/v1/hosts";
  if (std::string Since = hostsVersion(); !Since.empty())
    R.Target += "?since=" + Since;
  R.TimeLimit = A.TimeLimit;
  HostsClient.send(
      HostsAddress, std::move(R), [this, Call = A.Call](const auto &Response) {
        auto Reply = decodeHosts(Response);
        if (Reply)
          setHostsVersion(Reply->Version);
        PostToNode([Call, Changes = Reply.map([](HostsReply &R) {
          return std::move(R.Changes);
        })](Node &N, Now T) { N.onHostChanges(Call, Changes, T); });
      });
}

std::string Adapters::hostsVersion() {
  std::lock_guard Lock(Mutex);
  return HostsVersion;
}

// The version is inserted unescaped into the next request's target, so one with
// other characters is discarded.
void Adapters::setHostsVersion(std::string Version) {
  bool IsSafe =
      std::all_of(Version.begin(), Version.end(), [](unsigned char C) {
        return std::isalnum(C) || C == '-' || C == '_' || C == '.';
      });
  std::lock_guard Lock(Mutex);
  HostsVersion = IsSafe ? std::move(Version) : std::string();
}

void Adapters::run(const control::LogAction &A) {
  base::logEvent(A.Event, A.Text);
}

std::vector<Adapters::ByteCounts> Adapters::byteCounts() const {
  return {{"log", LogClient.bytesIn(), LogClient.bytesOut()},
          {"hosts", HostsClient.bytesIn(), HostsClient.bytesOut()},
          {"worker", CommandClient.bytesIn() + LongPollClient.bytesIn(),
           CommandClient.bytesOut() + LongPollClient.bytesOut()},
          {"peer", PeerClient.bytesIn(), PeerClient.bytesOut()}};
}

} // namespace heathersaddle::daemon
