// Everything runs on the single thread of the io_context, so the models need no
// locks. A fault request is validated as a whole before any fault is set.

#include "heathersaddle/standin/Standin.h"
#include "HostList.h"
#include "LogService.h"
#include "Replies.h"
#include "WorkerService.h"
#include "heathersaddle/base/Json.h"
#include <map>

namespace heathersaddle::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxBodyBytes = 8UL * 1024 * 1024;
constexpr std::int64_t MaxDelayMs = 600'000;
constexpr std::string_view StreamsPath = "/v1/streams/";

} // namespace

struct Standin::Impl {
  Impl(boost::asio::io_context &Io, StandinSettings S)
      : Io(Io), Settings(S), Log(Io), Hosts(S.HostListLag),
        Server(Io, net::ServerLimits{.MaxBodyBytes = MaxBodyBytes},
               [this](const net::Request &R, net::Respond Reply) {
                 handle(R, std::move(Reply));
               }) {
    std::mt19937_64 Random(S.Seed);
    for (unsigned D = 1; D <= S.DataCentres; ++D)
      for (unsigned R = 1; R <= S.Racks; ++R)
        for (unsigned W = 1; W <= S.WorkersPerRack; ++W)
          addWorker(D, R, W, Random());
  }

  void addWorker(unsigned D, unsigned R, unsigned W, std::uint64_t Seed) {
    WorkerInfo P;
    P.DataCentre = "dc-" + std::to_string(D);
    P.Rack = P.DataCentre + "-r" + std::to_string(R);
    P.Name = P.Rack + "-w" + std::to_string(W);
    P.Slots = Settings.Slots;
    P.UsagePeriod = Settings.UsagePeriod;
    Workers.push_back(std::make_unique<WorkerService>(
        Io, std::move(P), Seed,
        [this](std::string_view Cell, std::uint64_t Epoch,
               std::string_view Owner) { recordEpoch(Cell, Epoch, Owner); }));
  }

  base::Expected<std::uint16_t> start() {
    for (auto &W : Workers) {
      if (auto Done = W->listen(); !Done)
        return tl::unexpected(Done.error());
      Hosts.add({{"name", W->info().Name},
                 {"address", "127.0.0.1:" + std::to_string(W->port())},
                 {"data_centre", W->info().DataCentre},
                 {"rack", W->info().Rack},
                 {"slots", Settings.Slots},
                 {"accelerators", Settings.Accelerators},
                 {"cores", Settings.Cores},
                 {"memory_mb", Settings.MemoryMb},
                 {"connections", Settings.Connections}});
    }
    return Server.listen("127.0.0.1", Settings.Port);
  }

  void recordEpoch(std::string_view Cell, std::uint64_t Epoch,
                   std::string_view Owner) {
    std::uint64_t &HighestEpoch = Epochs[std::string(Cell)];
    if (Epoch <= HighestEpoch)
      return;
    HighestEpoch = Epoch;
    Owners.push_back(json::object{{"cell", Cell},
                                  {"epoch", Epoch},
                                  {"owner", Owner},
                                  {"at_ms", platformNow().count()}});
  }

  void handle(const net::Request &R, net::Respond Reply) {
    std::string_view Path = R.Path;
    if (Path.starts_with(StreamsPath))
      return Log.handle(Path.substr(StreamsPath.size()), R, std::move(Reply));
    if (Path == "/v1/hosts" && R.Method == "GET")
      return Reply(jsonReply(200, Hosts.reply(since(R), platformNow())));
    if (Path == "/v1/audit" && R.Method == "GET")
      return Reply(jsonReply(200, audit()));
    if (Path == "/v1/faults" && R.Method == "POST")
      return Reply(setFaults(R.Body));
    Reply(notFound());
  }

  static std::string since(const net::Request &R) {
    auto Found = R.Query.find("since");
    return Found == R.Query.end() ? std::string() : Found->second;
  }

  json::value audit() const {
    json::array Runs;
    for (const auto &W : Workers)
      W->addAudit(Runs);
    return json::object{{"now_ms", platformNow().count()},
                        {"runs", std::move(Runs)},
                        {"owners", Owners},
                        {"log", Log.statistics()}};
  }

  net::Response setFaults(const std::string &Text) {
    auto Body = base::parseJson(Text, "faults");
    if (!Body)
      return errorReply(Body.error());
    base::JsonReader R(*Body, "faults");
    const std::string Name = R.string("worker", "", 128);
    auto Matching = matchingWorkers(Name);
    if (!Name.empty() && Matching.empty())
      R.fail("worker", "names no worker");
    validateFaults(R, Name);
    if (R.error())
      return errorReply(*R.error());
    setLogFaults(R);
    for (WorkerService *W : Matching)
      if (auto Done = setWorkerFaults(R, *W); !Done)
        return errorReply(Done.error());
    return jsonReply(200, {{"workers", Matching.size()}});
  }

  static void validateFaults(base::JsonReader &R, const std::string &Worker) {
    R.allowOnly({"log_down", "log_slow_ms", "log_lose_answers", "trim_stream",
                 "trim_before", "worker", "down", "restart", "paused",
                 "failing", "late_ms", "twice", "cut_from", "host_state"});
    for (const char *Name :
         {"log_down", "down", "restart", "paused", "failing", "twice"})
      R.booleanOr(Name, false);
    for (const char *Name : {"log_slow_ms", "late_ms", "log_lose_answers"})
      R.integerOr(Name, 0, 0, MaxDelayMs);
    R.string("trim_stream", "", 64);
    R.integerOr("trim_before", 0, 0, std::int64_t(1) << 53);
    R.string("cut_from", "", 128);
    const std::string State = R.string("host_state", "live", 16);
    if (State != "live" && State != "leaving" && State != "gone")
      R.fail("host_state", "must be live, leaving or gone");
    for (const char *Name : {"down", "restart", "paused", "failing", "late_ms",
                             "twice", "cut_from", "host_state"})
      if (Worker.empty() && R.find(Name))
        R.fail("worker", "is required for a worker's switch");
  }

  void setLogFaults(base::JsonReader &R) {
    if (R.find("log_slow_ms"))
      Log.setAnswerDelay(
          base::Millis(R.integerOr("log_slow_ms", 0, 0, MaxDelayMs)));
    if (R.find("log_lose_answers"))
      Log.loseAnswers(
          unsigned(R.integerOr("log_lose_answers", 0, 0, MaxDelayMs)));
    if (R.find("trim_before"))
      Log.trim(R.string("trim_stream", "control", 64),
               std::uint64_t(
                   R.integerOr("trim_before", 0, 0, std::int64_t(1) << 53)));
    if (R.find("log_down"))
      Log.setDown(R.booleanOr("log_down", false));
  }

  base::Expected<void> setWorkerFaults(base::JsonReader &R, WorkerService &W) {
    if (R.find("failing"))
      W.setFailing(R.booleanOr("failing", false));
    if (R.find("late_ms"))
      W.setReplyDelay(base::Millis(R.integerOr("late_ms", 0, 0, MaxDelayMs)));
    if (R.find("twice"))
      W.setDuplicateDelivery(R.booleanOr("twice", false));
    if (R.find("cut_from"))
      W.partitionFrom(R.string("cut_from", "", 128));
    if (R.find("host_state"))
      Hosts.setState(W.info().Name, R.string("host_state", "live", 16),
                     platformNow());
    if (R.booleanOr("restart", false))
      W.restart();
    if (R.find("paused"))
      W.setPaused(R.booleanOr("paused", false));
    if (R.find("down"))
      return W.setDown(R.booleanOr("down", false));
    return {};
  }

  /// The worker called \p Name; when \p Name ends in "*", all workers whose
  /// name starts with the text before it.
  std::vector<WorkerService *> matchingWorkers(std::string_view Name) {
    const bool Prefix = Name.ends_with('*');
    if (Prefix)
      Name.remove_suffix(1);
    std::vector<WorkerService *> Found;
    for (auto &W : Workers) {
      std::string_view WorkerName = W->info().Name;
      if (Prefix ? WorkerName.starts_with(Name) : WorkerName == Name)
        Found.push_back(W.get());
    }
    return Found;
  }

  boost::asio::io_context &Io;
  StandinSettings Settings;
  LogService Log;
  HostList Hosts;
  std::vector<std::unique_ptr<WorkerService>> Workers;
  std::map<std::string, std::uint64_t> Epochs;
  json::array Owners;
  net::HttpServer Server; ///< Last member: its handler uses the others.
};

Standin::Standin(boost::asio::io_context &Io, StandinSettings Settings)
    : Implementation(std::make_unique<Impl>(Io, Settings)) {}

Standin::~Standin() = default;

base::Expected<std::uint16_t> Standin::start() {
  return Implementation->start();
}

std::size_t Standin::workerCount() const {
  return Implementation->Workers.size();
}

} // namespace heathersaddle::standin
