// Two kinds of hops: from a traffic thread to the control thread (onNode),
// where the node is called, and back (onTraffic), where results are encoded.
// Nothing on the control thread blocks or touches a socket.
#include "Driver.h"
#include "Views.h"
#include "heathersaddle/base/Log.h"
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace heathersaddle::daemon {

namespace json = boost::json;
using base::Expected;
using control::JobAnswer;

/// The node wants to be called at least every 50 ms.
static constexpr base::Millis TickPeriod{40};

Driver::Driver(const Settings &S, net::Executor &Traffic, Metrics &Counters)
    : Traffic(Traffic), Counters(Counters), Name(S.Node.Name), Node(S.Node),
      Outside(S, Traffic, [this](auto Work) { onNode(std::move(Work)); }) {}

Driver::~Driver() { halt(); }

Driver::Now Driver::now() {
  using namespace std::chrono;
  return {duration_cast<milliseconds>(steady_clock::now().time_since_epoch()),
          duration_cast<milliseconds>(system_clock::now().time_since_epoch())
              .count()};
}

void Driver::onNode(std::function<void(control::Node &, Now)> Work) {
  Control.post([this, Work = std::move(Work)] {
    Work(Node, now());
    step();
  });
}

void Driver::start() {
  onNode([](control::Node &N, Now T) { N.start(T); });
  tickLater();
}

void Driver::tickLater() {
  Control.after(TickPeriod, [this] {
    step();
    tickLater();
  });
}

void Driver::step() {
  Node.tick(now());
  for (control::Action &A : Node.takeActions())
    Outside.carryOut(std::move(A));
  observe();
}

void Driver::refreshDirectory() {
  std::array Versions{Node.state().version(state::ListKind::Customers),
                      Node.state().version(state::ListKind::Plans)};
  if (Accounts && Versions == DirectoryVersions)
    return;
  auto Next = makeDirectory(Node.state());
  DirectoryVersions = Versions;
  std::lock_guard Lock(Mutex);
  Accounts = std::move(Next);
}

void Driver::observe() {
  bool Ready = Node.ready();
  if (Ready != IsReady.exchange(Ready) && !Handing)
    base::logEvent(Ready ? base::event::Ready : base::event::NotReady,
                   Ready ? "the state is complete" : "the state is not usable");
  if (Ready)
    refreshDirectory();
  // During an outage of the log the last state still answers callers.
  MayServe = Ready || (MayServe && Node.logDown());
  if (Handing && OnStopped && Node.stopped())
    std::exchange(OnStopped, nullptr)();
}

template <class T> Done<T> Driver::onTraffic(Done<T> Next) {
  return [this, Next = std::move(Next)](Expected<T> Result) {
    Traffic.post([Next, Result = std::move(Result)] { Next(Result); });
  };
}

Done<JobAnswer> Driver::encoded(JsonDone Next) {
  return onTraffic<JobAnswer>(
      [Next = std::move(Next)](const Expected<JobAnswer> &A) {
        Next(A.map([](const JobAnswer &Answer) { return toJson(Answer); }));
      });
}

void Driver::submit(Submission Asked, Done<control::SubmitResult> Next) {
  onNode([Asked = std::move(Asked),
          Next = onTraffic(std::move(Next))](control::Node &N, Now T) mutable {
    auto Slots = slotsNeeded(N.state(), Asked);
    if (!Slots)
      return Next(tl::unexpected(Slots.error()));
    state::JobSpec &Spec = Asked.Request.Spec;
    Spec.Shape.SlotsPerTask = *Slots;
    if (Asked.DeadlineAfterMs)
      Spec.DeadlineMs = T.Wall + Asked.DeadlineAfterMs;
    N.submit(std::move(Asked.Request), Next, T);
  });
}

void Driver::fetch(const std::string &Job, const std::string &Account,
                   base::Millis Wait, const Done<JobAnswer> &Next) {
  onNode([this, Job, Account, Wait, Next](control::Node &N, Now T) {
    if (Wait.count() == 0 || StopWaits)
      return Next(N.status(Job, Account));
    std::uint64_t Id = NextWaiter++;
    Waiters[Id] = {Job, Account, Next};
    auto Finish = [this, Id](const Expected<JobAnswer> &A) {
      if (auto Found = Waiters.extract(Id))
        Found.mapped().Finish(A);
    };
    N.wait(Job, Account, Wait, Finish, T);
  });
}

void Driver::finishWaits() {
  onNode([this](control::Node &N, Now) {
    StopWaits = true;
    for (auto &[Id, W] : std::exchange(Waiters, {}))
      W.Finish(N.status(W.Job, W.Account));
  });
}

void Driver::beginStop(std::function<void()> Stopped) {
  onNode([this, Stopped = std::move(Stopped)](control::Node &N, Now T) {
    Handing = true;
    OnStopped = Stopped;
    N.beginStop(T);
  });
}

static PublishReply refusal(const state::State &S, state::ListKind Kind,
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

/// The change that turns the list in force into \p Wanted.
static state::ListChange changeTo(const state::State &S, const List &Wanted,
                                  std::uint64_t Base) {
  if (const auto *Plans = std::get_if<state::PlanMap>(&Wanted))
    return state::difference(S.plans(), *Plans, Base);
  return state::difference(S.customers(), std::get<state::CustomerMap>(Wanted),
                           Base);
}

void Driver::publish(state::ListKind Kind, std::uint64_t Base,
                     const json::value &Text, const Done<PublishReply> &Next) {
  auto Wanted = parseList(Kind, Text);
  if (!Wanted)
    return Next(tl::unexpected(Wanted.error()));
  onNode([this, Kind, Base, Wanted = std::move(*Wanted),
          Next = onTraffic(Next)](control::Node &N, Now T) {
    if (Base != N.state().version(Kind))
      return Next(refusal(N.state(), Kind,
                          "another version is in force than the base"));
    auto Finish = [this, Kind, Next](const Expected<state::ListVerdict> &V) {
      if (!V)
        return Next(tl::unexpected(V.error()));
      if (!V->Accepted)
        return Next(refusal(Node.state(), Kind, V->Reason));
      // The reply promises that this daemon knows the new tokens already.
      refreshDirectory();
      Next(PublishReply{true, json::object{{"list", state::name(Kind)},
                                           {"version", V->Version}}});
    };
    N.publish(changeTo(N.state(), Wanted, Base), Finish, T);
  });
}

void Driver::refreshMetrics() {
  const state::State &S = Node.state();
  Metrics &M = Counters;
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
  for (const Adapters::Bytes &B : Outside.bytes()) {
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
  Ops.Submit = [this](Submission S, Done<control::SubmitResult> Next) {
    submit(std::move(S), std::move(Next));
  };
  Ops.Fetch = [this](const std::string &Job, const std::string &Account,
                     base::Millis Wait, JsonDone Next) {
    fetch(Job, Account, Wait, encoded(std::move(Next)));
  };
  Ops.Cancel = [this](const std::string &Job, const std::string &Account,
                      JsonDone Next) {
    onNode([Job, Account, Next = encoded(std::move(Next))](
               control::Node &N, Now T) { N.cancel(Job, Account, Next, T); });
  };
  Ops.Explain = [this](const std::string &Job, const std::string &Account,
                       JsonDone Next) {
    auto Encode = onTraffic<policy::Explanation>(
        [Job, Next = std::move(Next)](const auto &E) {
          Next(E.map([&Job](const policy::Explanation &Why) {
            return json::value(json::object{
                {"job", Job}, {"limit", Why.Limit}, {"detail", Why.Detail}});
          }));
        });
    onNode([Job, Account, Encode](control::Node &N, Now T) {
      Encode(N.explain(Job, Account, T));
    });
  };
  Ops.Pool = [this](const std::string &Account, JsonDone Next) {
    auto Encode = onTraffic<PoolView>(
        [Next = std::move(Next)](const Expected<PoolView> &View) {
          Next(toJson(*View));
        });
    onNode([Account, Encode](control::Node &N, Now) {
      Encode(viewPool(N.state(), Account));
    });
  };
  Ops.Burn = [this](const std::string &Account, Done<report::BurnReport> Next) {
    onNode([this, Account, Next = onTraffic(std::move(Next))](control::Node &N,
                                                              Now) {
      Next(report::buildReport(N.state(), Name, Account));
    });
  };
  Ops.ReadList = [this](state::ListKind Kind, const JsonDone &Next) {
    auto Send = [this, Next](const auto &List, std::uint64_t Version) {
      Traffic.post([Next, List, Version] {
        json::value Body = state::toJson(List);
        Body.as_object()["version"] = Version;
        Next(std::move(Body));
      });
    };
    onNode([Kind, Send](control::Node &N, Now) {
      std::uint64_t Version = N.state().version(Kind);
      if (Kind == state::ListKind::Plans)
        Send(N.state().plans(), Version);
      else
        Send(N.state().customers(), Version);
    });
  };
  Ops.Publish = [this](state::ListKind Kind, std::uint64_t Base,
                       const json::value &Text,
                       const Done<PublishReply> &Next) {
    publish(Kind, Base, Text, Next);
  };
  Ops.History = [this](const JsonDone &Next) {
    onNode([this, Next](control::Node &N, Now) {
      Traffic.post([Next, All = N.state().listHistory()] {
        json::array Items;
        for (const state::ListVerdict &V : All)
          Items.push_back(toJson(V));
        Next(json::object{{"history", std::move(Items)}});
      });
    });
  };
  Ops.Peer = [this](const std::string &Path, const json::value &Body,
                    JsonDone Next) {
    onNode([Path, Body, Next = onTraffic(std::move(Next))](control::Node &N,
                                                           Now T) {
      Next(N.onPeerRequest(Path, Body, T));
    });
  };
  Ops.Accounts = [this] {
    std::lock_guard Lock(Mutex);
    return Accounts;
  };
  Ops.Serving = [this] { return MayServe.load(); };
  Ops.Ready = [this] { return IsReady.load(); };
  Ops.RefreshMetrics = [this](const std::function<void()> &Next) {
    onNode([this, Next](control::Node &, Now) {
      refreshMetrics();
      Traffic.post(Next);
    });
  };
  return Ops;
}

} // namespace heathersaddle::daemon
