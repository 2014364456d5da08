// An action is handed to a traffic thread, encoded and sent there; the answer
// is decoded there and delivered to the control thread.
#include "Adapters.h"
#include "Decode.h"
#include "heathersaddle/base/Log.h"
#include <boost/json/serialize.hpp>

namespace heathersaddle::daemon {

using control::Node;

static net::ClientLimits limits(std::size_t Connections, std::size_t Queued) {
  net::ClientLimits L;
  L.MaxConnections = Connections;
  L.MaxQueued = Queued;
  return L;
}

Adapters::Adapters(const Settings &S, net::Executor &Traffic, Deliver ToNode)
    : LogAddress(S.LogAddress),
      HostsAddress(S.HostsAddress.empty() ? S.LogAddress : S.HostsAddress),
      PeerKey(S.PeerKey), Traffic(Traffic), ToNode(std::move(ToNode)),
      Log(Traffic.context(), limits(4, 16)),
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
  R.Body = boost::json::serialize(
      boost::json::object{{"records", std::move(Records)}});
  R.TimeLimit = A.TimeLimit;
  Log.send(LogAddress, std::move(R), [this, Call = A.Call](const auto &Got) {
    ToNode([Call, First = decodeAppend(Got)](Node &N, Now T) {
      N.onAppended(Call, First, T);
    });
  });
}

void Adapters::run(const control::ReadAction &A) {
  net::ClientRequest R;
  R.Target = "/v1/streams/" + A.Stream +
             "/records?from=" + std::to_string(A.From) +
             "&max=" + std::to_string(A.Max) +
             "&wait_ms=" + std::to_string(A.Wait.count());
  R.TimeLimit = A.TimeLimit;
  Log.send(LogAddress, std::move(R), [this, Call = A.Call](const auto &Got) {
    ToNode([Call, Result = decodeRead(Got)](Node &N, Now T) {
      N.onRead(Call, Result, T);
    });
  });
}

void Adapters::run(const control::WorkerAction &A) {
  net::ClientRequest R;
  R.Method = "POST";
  R.Target = A.Path;
  R.Body = boost::json::serialize(A.Body);
  R.TimeLimit = A.TimeLimit;
  net::HttpClient &Client = A.Path == "/v1/sync" ? Syncs : Commands;
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
  R.TimeLimit = A.TimeLimit;
  Hosts.send(HostsAddress, std::move(R),
             [this, Call = A.Call](const auto &Got) {
               ToNode([Call, List = decodeHosts(Got)](Node &N, Now T) {
                 N.onHosts(Call, List, T);
               });
             });
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
