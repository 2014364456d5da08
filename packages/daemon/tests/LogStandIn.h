#ifndef HEATHERSADDLE_DAEMON_TESTS_LOGSTANDIN_H
#define HEATHERSADDLE_DAEMON_TESTS_LOGSTANDIN_H

#include "heathersaddle/base/Json.h"
#include "heathersaddle/net/Executor.h"
#include "heathersaddle/net/HttpServer.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace heathersaddle::daemon::test {

/// An in-memory fake of the platform's log and host list, with one worker that
/// accepts every command and never reports an event. A long poll ends with the
/// next append to its stream or after its wait.
class LogStandIn {
public:
  LogStandIn()
      : Server(Threads.context(), {.MaxBodyBytes = 4UL << 20},
               [this](const net::Request &R, const net::Respond &Reply) {
                 handle(R, Reply);
               }) {
    Address =
        "127.0.0.1:" + std::to_string(Server.listen("127.0.0.1", 0).value());
  }

  ~LogStandIn() {
    Threads.stop();
    Polls.clear(); // Replies need the server.
  }
  LogStandIn(const LogStandIn &) = delete;
  LogStandIn &operator=(const LogStandIn &) = delete;

  /// Whether a record of stream control contains \p Text.
  bool contains(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    for (const std::string &Record : Streams["control"])
      if (Record.find(Text) != std::string::npos)
        return true;
    return false;
  }
  /// Adds a record to a stream as another writer would.
  void addRecord(const std::string &Stream, const std::string &Text) {
    std::lock_guard Lock(Mutex);
    Streams[Stream].push_back(Text);
  }
  /// Makes requests to the log and the host list fail with 503, or succeed
  /// again.
  void setDown(bool Now) {
    std::lock_guard Lock(Mutex);
    Down = Now;
  }

  /// Returns at the daemon's next request, or after 100 ms without one. The
  /// daemon's state changes with the responses to its requests.
  void awaitCall() {
    std::unique_lock Lock(Mutex);
    CallReceived.wait_for(
        Lock, std::chrono::milliseconds(100),
        [this, Before = CallCount] { return CallCount != Before; });
  }
  /// Delays the response to a read by \p TimePerRecord for each record.
  void setReadTimePerRecord(std::chrono::milliseconds TimePerRecord) {
    std::lock_guard Lock(Mutex);
    ReadTimePerRecord = TimePerRecord;
  }

  std::string Address;

private:
  struct Poll {
    std::string Stream;
    std::uint64_t From;
    net::Respond Reply;
  };

  void handle(const net::Request &R, const net::Respond &Reply) {
    std::lock_guard Lock(Mutex);
    ++CallCount;
    CallReceived.notify_all();
    if (R.Path == "/v1/commands" || R.Path == "/v1/sync")
      return handleWorkerRequest(R, Reply);
    if (Down)
      return Reply({.Status = 503});
    if (R.Path == "/v1/hosts")
      return Reply({.Body = R"({"hosts":[{"name":"w1","address":")" + Address +
                            R"(","data_centre":"dc1","rack":"r1","slots":8,)"
                            R"("accelerators":8,"cores":64,"memory_mb":1024,)"
                            R"("connections":64,"state":"live"}]})"});
    std::string_view Path = R.Path;
    Path.remove_prefix(std::string_view("/v1/streams/").size());
    std::string Stream(Path.substr(0, Path.find('/')));
    if (R.Method == "POST")
      return append(Stream, R, Reply);
    std::uint64_t From = std::stoull(R.Query.at("from"));
    if (From < Streams[Stream].size())
      return read(Stream, From, Reply, std::stoull(R.Query.at("max")));
    std::uint64_t Id = NextPoll++;
    Polls[Id] = {Stream, From, Reply};
    Threads.after(std::chrono::milliseconds(std::stoi(R.Query.at("wait_ms"))),
                  [this, Id] { endPoll(Id); });
  }

  void handleWorkerRequest(const net::Request &R, const net::Respond &Reply) {
    auto Body = base::parseJson(R.Body, "worker")->as_object();
    boost::json::object Answer{{"boot", 1}, {"clock_ms", 1}};
    if (R.Path == "/v1/commands") {
      boost::json::array Results(Body.at("commands").as_array().size(),
                                 boost::json::object{{"ok", true}});
      Answer["results"] = std::move(Results);
      return Reply({.Body = boost::json::serialize(Answer)});
    }
    Answer["cursor"] = 0;
    Answer["events"] = boost::json::array();
    Answer["tasks"] = boost::json::array();
    Threads.after(std::chrono::milliseconds(Body.at("wait_ms").as_int64()),
                  [Reply, Text = boost::json::serialize(Answer)] {
                    Reply({.Body = Text});
                  });
  }

  void append(const std::string &Stream, const net::Request &R,
              const net::Respond &Reply) {
    auto Body = base::parseJson(R.Body, "append");
    auto &Records = Streams[Stream];
    std::string First = std::to_string(Records.size());
    for (const auto &Text : Body->at("records").as_array())
      Records.emplace_back(Text.as_string());
    Reply({.Body = R"({"first":)" + First + "}"});
    std::erase_if(Polls, [&](const auto &Entry) {
      if (Entry.second.Stream != Stream)
        return false;
      read(Stream, Entry.second.From, Entry.second.Reply);
      return true;
    });
  }

  void read(const std::string &Stream, std::uint64_t From,
            const net::Respond &Reply, std::size_t Max = 1'000) {
    boost::json::array Records;
    auto &All = Streams[Stream];
    for (std::size_t N = From; N < All.size() && Records.size() < Max; ++N)
      Records.emplace_back(All[N]);
    auto Delay = ReadTimePerRecord * Records.size();
    net::Response Answer{.Body = boost::json::serialize(boost::json::object{
                             {"oldest", 0},
                             {"next", All.size()},
                             {"records", std::move(Records)}})};
    if (Delay.count() == 0)
      return Reply(std::move(Answer));
    Threads.after(Delay, [Reply, Answer] { Reply(Answer); });
  }

  void endPoll(std::uint64_t Id) {
    std::lock_guard Lock(Mutex);
    if (auto Found = Polls.extract(Id))
      read(Found.mapped().Stream, Found.mapped().From, Found.mapped().Reply);
  }

  std::mutex Mutex;
  std::condition_variable CallReceived;
  std::uint64_t CallCount = 0;
  std::map<std::string, std::vector<std::string>> Streams;
  std::map<std::uint64_t, Poll> Polls;
  std::uint64_t NextPoll = 0;
  bool Down = false;
  std::chrono::milliseconds ReadTimePerRecord{0};
  net::Executor Threads{1};
  net::HttpServer Server;
};

} // namespace heathersaddle::daemon::test

#endif
