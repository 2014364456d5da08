// postToNode() switches from a traffic thread to the control thread, where the
// node is called. onTrafficThread() switches back, and results are encoded
// there. Nothing on the control thread blocks or uses a socket.
#include "Driver.h"
#include "Views.h"
#include "heathersaddle/base/Log.h"
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace heathersaddle::daemon {

namespace json = boost::json;
using base::Expected;
using control::JobAnswer;

/// The node's tick() must be called at least every 50 ms.
static constexpr base::Millis TickPeriod{40};

Driver::Driver(const Settings &S, net::Executor &TrafficExecutor,
               Metrics &MetricsRegistry)
    : TrafficExecutor(TrafficExecutor), MetricsRegistry(MetricsRegistry),
      DaemonName(S.Node.Name), Node(S.Node),
      HttpAdapters(S, TrafficExecutor,
                   [this](auto Work) { postToNode(std::move(Work)); }) {}

Driver::~Driver() { stopControlThread(); }

Driver::Now Driver::now() {
  using namespace std::chrono;
  return {duration_cast<milliseconds>(steady_clock::now().time_since_epoch()),
          duration_cast<milliseconds>(system_clock::now().time_since_epoch())
              .count()};
}

void Driver::postToNode(std::function<void(control::Node &, Now)> Work) {
  ControlThread.post([this, Work = std::move(Work)] {
    Work(Node, now());
    tickAndRunActions();
  });
}

void Driver::start() {
  postToNode([](control::Node &N, Now T) { N.start(T); });
  scheduleTick();
}

void Driver::scheduleTick() {
  ControlThread.after(TickPeriod, [this] {
    tickAndRunActions();
    scheduleTick();
  });
}

void Driver::tickAndRunActions() {
  Node.tick(now());
  for (control::Action &A : Node.takeActions())
    HttpAdapters.execute(std::move(A));
  updateReadiness();
}

void Driver::refreshAccountDirectory() {
  std::array Versions{Node.state().version(state::ListKind::Customers),
                      Node.state().version(state::ListKind::Plans)};
  if (Accounts && Versions == DirectoryVersions)
    return;
  auto Next = makeAccountDirectory(Node.state());
  DirectoryVersions = Versions;
  std::lock_guard Lock(Mutex);
  Accounts = std::move(Next);
}

void Driver::updateReadiness() {
  bool Ready = Node.ready();
  if (Ready != IsReady.exchange(Ready) && !HandingOver)
    base::logEvent(Ready ? base::event::Ready : base::event::NotReady,
                   Ready ? "the state is complete" : "the state is not usable");
  if (Ready)
    refreshAccountDirectory();
  // During a log outage callers are served from the last state.
  MayServe = Ready || (MayServe && Node.logDown());
  if (HandingOver && OnStopped && Node.stopped())
    std::exchange(OnStopped, nullptr)();
}

template <class T> Completion<T> Driver::onTrafficThread(Completion<T> Next) {
  return [this, Next = std::move(Next)](Expected<T> Result) {
    TrafficExecutor.post([Next, Result = std::move(Result)] { Next(Result); });
  };
}

Completion<JobAnswer> Driver::encodeOnTrafficThread(JsonCompletion Next) {
  return onTrafficThread<JobAnswer>(
      [Next = std::move(Next)](const Expected<JobAnswer> &A) {
        Next(A.map([](const JobAnswer &Answer) { return toJson(Answer); }));
      });
}

void Driver::submit(Submission Submitted,
                    Completion<control::SubmitResult> Next) {
  postToNode([Submitted = std::move(Submitted),
              Next = onTrafficThread(std::move(Next))](control::Node &N,
                                                       Now T) mutable {
    auto Slots = requiredSlots(N.state(), Submitted);
    if (!Slots)
      return Next(tl::unexpected(Slots.error()));
    state::JobSpec &Spec = Submitted.Request.Spec;
    Spec.Shape.SlotsPerTask = *Slots;
    if (Submitted.DeadlineAfterMs)
      Spec.DeadlineMs = T.Wall + Submitted.DeadlineAfterMs;
    N.submit(std::move(Submitted.Request), Next, T);
  });
}

void Driver::fetch(const std::string &Job, const std::string &Account,
                   base::Millis Wait, const Completion<JobAnswer> &Next) {
  postToNode([this, Job, Account, Wait, Next](control::Node &N, Now T) {
    if (Wait.count() == 0 || WaitsDisabled)
      return Next(N.status(Job, Account));
    std::uint64_t Id = NextWaiterId++;
    Waiters[Id] = {Job, Account, Next};
    auto Finish = [this, Id](const Expected<JobAnswer> &A) {
      if (auto Found = Waiters.extract(Id))
        Found.mapped().Finish(A);
    };
    N.wait(Job, Account, Wait, Finish, T);
  });
}

void Driver::finishWaits() {
  postToNode([this](control::Node &N, Now) {
    WaitsDisabled = true;
    for (auto &[Id, W] : std::exchange(Waiters, {}))
      W.Finish(N.status(W.Job, W.Account));
  });
}

void Driver::beginStop(std::function<void()> Stopped) {
  postToNode([this, Stopped = std::move(Stopped)](control::Node &N, Now T) {
    HandingOver = true;
    OnStopped = Stopped;
    N.beginStop(T);
  });
}

static PublishReply makeRejection(const state::State &S, state::ListKind Kind,
                                  std::string_view Reason) {
  return {false, json::object{{"error",
                               {{"code", "conflict"},
                                {"field", "base"},
                                {"message", Reason},
                                {"step", "publish"},
                                {"peer", ""}}},
                              {"list", state::name(Kind)},
                              {"version", S.version(Kind)}}};
}

using List = std::variant<state::PlanMap, state::CustomerMap>;

static Expected<List> parseList(state::ListKind Kind, const json::value &Text) {
  auto Wrap = [](auto &&Map) { return List(std::forward<decltype(Map)>(Map)); };
  if (Kind == state::ListKind::Plans)
    return state::parsePlans(Text).map(Wrap);
  return state::parseCustomers(Text).map(Wrap);
}

/// The change from the list in force to \p NewList.
static state::ListChange changeTo(const state::State &S, const List &NewList,
                                  std::uint64_t Base) {
  if (const auto *Plans = std::get_if<state::PlanMap>(&NewList))
    return state::difference(S.plans(), *Plans, Base);
  return state::difference(S.customers(), std::get<state::CustomerMap>(NewList),
                           Base);
}

void Driver::publish(state::ListKind Kind, std::uint64_t Base,
                     const json::value &Text,
                     const Completion<PublishReply> &Next) {
  auto NewList = parseList(Kind, Text);
  if (!NewList)
    return Next(tl::unexpected(NewList.error()));
  postToNode([this, Kind, Base, NewList = std::move(*NewList),
              Next = onTrafficThread(Next)](control::Node &N, Now T) {
    if (Base != N.state().version(Kind))
      return Next(makeRejection(N.state(), Kind,
                                "another version is in force than the base"));
    auto Finish = [this, Kind, Next](const Expected<state::ListVerdict> &V) {
      if (!V)
        return Next(tl::unexpected(V.error()));
      if (!V->Accepted)
        return Next(makeRejection(Node.state(), Kind, V->Reason));
      // After this reply this daemon must accept the new tokens.
      refreshAccountDirectory();
      Next(PublishReply{true, json::object{{"list", state::name(Kind)},
                                           {"version", V->Version}}});
    };
    N.publish(changeTo(N.state(), NewList, Base), Finish, T);
  });
}

void Driver::refreshMetrics() {
  const state::State &S = Node.state();
  Metrics &M = MetricsRegistry;
  M.set("heathersaddle_ready", "", Node.ready() ? 1 : 0);
  M.set("heathersaddle_log_down", "", Node.logDown() ? 1 : 0);
  M.set("heathersaddle_log_offset", "", static_cast<double>(S.nextOffset()));
  M.set("heathersaddle_cells_owned", "",
        static_cast<double>(Node.ownedCells().size()));
  M.set("heathersaddle_degraded_guarantees", "",
        static_cast<double>(S.degraded().size()));
  for (auto Kind : {state::ListKind::Customers, state::ListKind::Plans})
    M.set("heathersaddle_list_version", label("list", state::name(Kind)),
          static_cast<double>(S.version(Kind)));
  for (const auto &[Name, C] : S.cells()) {
    std::string Cell = label("cell", Name);
    std::map<pool::WorkerStatus, unsigned> Workers;
    for (const auto &[Worker, W] : C.Workers)
      ++Workers[W.Status];
    M.set("heathersaddle_cell_epoch", Cell, static_cast<double>(C.Epoch));
    M.set("heathersaddle_cell_jobs_live", Cell,
          static_cast<double>(C.Live.size()));
    using enum pool::WorkerStatus;
    for (auto [Status, Text] : {std::pair{Up, "up"},
                                {Leaving, "leaving"},
                                {Quarantined, "quarantined"},
                                {Lost, "lost"}})
      M.set("heathersaddle_cell_workers", Cell + "," + label("status", Text),
            Workers[Status]);
    M.set("heathersaddle_cell_slots", Cell + "," + label("kind", "total"),
          C.Pool.upSlots());
    M.set("heathersaddle_cell_slots", Cell + "," + label("kind", "used"),
          C.Pool.usedSlots());
  }
  for (const Adapters::ByteCounts &B : HttpAdapters.byteCounts()) {
    std::string Kind = label("kind", B.Kind) + ",";
    M.set("heathersaddle_control_bytes_total", Kind + label("direction", "in"),
          static_cast<double>(B.In));
    M.set("heathersaddle_control_bytes_total", Kind + label("direction", "out"),
          static_cast<double>(B.Out));
  }
  M.set("heathersaddle_control_cpu_seconds_total", "", threadCpuSeconds());
  M.set("heathersaddle_process_cpu_seconds_total", "", processCpuSeconds());
  M.set("heathersaddle_process_resident_bytes", "",
        static_cast<double>(residentBytes()));
}

Operations Driver::operations() {
  Operations Ops;
  Ops.Submit = [this](Submission S, Completion<control::SubmitResult> Next) {
    submit(std::move(S), std::move(Next));
  };
  Ops.Fetch = [this](const std::string &Job, const std::string &Account,
                     base::Millis Wait, JsonCompletion Next) {
    fetch(Job, Account, Wait, encodeOnTrafficThread(std::move(Next)));
  };
  Ops.Cancel = [this](const std::string &Job, const std::string &Account,
                      JsonCompletion Next) {
    postToNode(
        [Job, Account, Next = encodeOnTrafficThread(std::move(Next))](
            control::Node &N, Now T) { N.cancel(Job, Account, Next, T); });
  };
  Ops.Explain = [this](const std::string &Job, const std::string &Account,
                       JsonCompletion Next) {
    auto Encode = onTrafficThread<policy::Explanation>(
        [Job, Next = std::move(Next)](const auto &E) {
          Next(E.map([&Job](const policy::Explanation &Why) {
            return json::value(json::object{
                {"job", Job}, {"limit", Why.Limit}, {"detail", Why.Detail}});
          }));
        });
    postToNode([Job, Account, Encode](control::Node &N, Now T) {
      Encode(N.explain(Job, Account, T));
    });
  };
  Ops.Pool = [this](const std::string &Account, JsonCompletion Next) {
    auto Encode = onTrafficThread<PoolView>(
        [Next = std::move(Next)](const Expected<PoolView> &View) {
          Next(toJson(*View));
        });
    postToNode([Account, Encode](control::Node &N, Now) {
      Encode(makePoolView(N.state(), Account));
    });
  };
  Ops.Burn = [this](const std::string &Account,
                    Completion<report::BurnReport> Next) {
    postToNode([this, Account, Next = onTrafficThread(std::move(Next))](
                   control::Node &N, Now) {
      Next(report::buildReport(N.state(), DaemonName, Account));
    });
  };
  Ops.ReadList = [this](state::ListKind Kind, const JsonCompletion &Next) {
    auto Send = [this, Next](const auto &List, std::uint64_t Version) {
      TrafficExecutor.post([Next, List, Version] {
        json::value Body = state::toJson(List);
        Body.as_object()["version"] = Version;
        Next(std::move(Body));
      });
    };
    postToNode([Kind, Send](control::Node &N, Now) {
      std::uint64_t Version = N.state().version(Kind);
      if (Kind == state::ListKind::Plans)
        Send(N.state().plans(), Version);
      else
        Send(N.state().customers(), Version);
    });
  };
  Ops.Publish = [this](state::ListKind Kind, std::uint64_t Base,
                       const json::value &Text,
                       const Completion<PublishReply> &Next) {
    publish(Kind, Base, Text, Next);
  };
  Ops.History = [this](const JsonCompletion &Next) {
    postToNode([this, Next](control::Node &N, Now) {
      TrafficExecutor.post([Next, All = N.state().listHistory()] {
        json::array Items;
        for (const state::ListVerdict &V : All)
          Items.push_back(toJson(V));
        Next(json::object{{"history", std::move(Items)}});
      });
    });
  };
  Ops.Peer = [this](const std::string &Path, const json::value &Body,
                    JsonCompletion Next) {
    postToNode(
        [Path, Body, Next = onTrafficThread(std::move(Next))](
            control::Node &N, Now T) { Next(N.onPeerRequest(Path, Body, T)); });
  };
  Ops.Accounts = [this] {
    std::lock_guard Lock(Mutex);
    return Accounts;
  };
  Ops.Serving = [this] { return MayServe.load(); };
  Ops.Ready = [this] { return IsReady.load(); };
  Ops.RefreshMetrics = [this](const std::function<void()> &Next) {
    postToNode([this, Next](control::Node &, Now) {
      refreshMetrics();
      TrafficExecutor.post(Next);
    });
  };
  return Ops;
}

} // namespace heathersaddle::daemon
