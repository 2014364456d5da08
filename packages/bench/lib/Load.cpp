// Generated loads. Every random value comes from one seeded engine and the
// distributions in this file, so a seed gives the same load everywhere.
#include "Load.h"
#include <algorithm>
#include <cmath>

namespace heathersaddle::bench {

using base::WallMs;
using pool::Adjacency;
using pool::Shape;

static constexpr WallMs Second = 1'000, Minute = 60'000, Hour = 3'600'000;

namespace {

class Generator {
public:
  Generator(const char *Name, std::uint64_t Seed) : Engine(Seed) {
    Result.Name = Name;
    Result.Seed = Seed;
  }

  double uniform() { return static_cast<double>(Engine() >> 11) * 0x1p-53; }
  unsigned below(unsigned N) { return static_cast<unsigned>(uniform() * N); }

  /// Draws a log-normal time. \p Spread is the standard deviation of its
  /// logarithm: one unit is a factor of e.
  std::int64_t logNormal(double MedianMs, double Spread) {
    double Sum = -6;
    for (unsigned I = 0; I != 12; ++I)
      Sum += uniform();
    return std::max<std::int64_t>(
        1'000, std::llround(MedianMs * std::exp(Spread * Sum)));
  }

  LoadJob &addJob(const std::string &Account, WallMs At, const Shape &S,
                  std::int64_t RunMs, bool Idempotent) {
    LoadJob &J = Result.Jobs.emplace_back();
    J.View.Id = "j" + std::to_string(Result.Jobs.size());
    J.View.Account = Account;
    J.View.Kind = "k" + std::to_string(S.totalSlots());
    J.View.Shape = S;
    J.View.Idempotent = Idempotent;
    J.View.AcceptedMs = At;
    J.RunMs = RunMs;
    // One job in five declares no run time, and one a tenth of it. The others
    // are wrong by a factor of about 2 in either direction.
    unsigned Accuracy = below(5);
    if (Accuracy > 1)
      J.View.DeclaredRunMs = logNormal(static_cast<double>(RunMs), 0.7);
    else if (Accuracy == 1)
      J.View.DeclaredRunMs = RunMs / 10 + 1;
    return J;
  }

  void addUrgentJob(const std::string &Account, WallMs At, unsigned Slots) {
    addJob(Account, At, {1, Slots}, logNormal(20 * Second, 0.7), below(2))
        .View.Urgent = true;
  }

  /// Adds 1,000 small jobs at once, cancelled a minute later if \p Cancelled.
  void addBurst(const std::string &Account, WallMs At, bool Cancelled) {
    for (unsigned N = 0; N != 1'000; ++N)
      addJob(Account, At, {1, 1}, logNormal(20 * Second, 0.5), true).CancelMs =
          Cancelled ? At + Minute : 0;
  }

  /// Adds jobs with which the account requests all its guarantee units at once.
  void requestUnits(const pool::Guarantee &G, WallMs At, std::int64_t RunMs) {
    for (unsigned U = 0; U != G.Units.size(); ++U)
      for (unsigned N = 0; N != G.Units[U].Count; ++N) {
        Shape S{G.Units[U].Workers, G.Units[U].Accelerators, true,
                G.Units[U].WithinRack ? Adjacency::Rack : Adjacency::None};
        addJob(G.Account, At, S, logNormal(static_cast<double>(RunMs), 0.3),
               below(2) == 0)
            .UnitIndex = static_cast<int>(U);
      }
  }

  void addWorkers(unsigned Count, unsigned PerRack, unsigned Slots,
                  unsigned Accelerators, const std::string &Prefix) {
    for (unsigned W = 0; W != Count; ++W) {
      std::string Number = std::to_string(10'000 + W);
      std::string Rack = Prefix;
      Rack.append("r").append(std::to_string(10'000 + W / PerRack));
      Result.Workers.push_back({Prefix + Number, Rack, Slots, Accelerators});
    }
  }

  Load finish(WallMs End) {
    Result.EndMs = End;
    std::stable_sort(Result.Jobs.begin(), Result.Jobs.end(),
                     [](const LoadJob &A, const LoadJob &B) {
                       return A.View.AcceptedMs < B.View.AcceptedMs;
                     });
    return std::move(Result);
  }

  Load Result;

private:
  std::mt19937_64 Engine;
};

} // namespace

static Shape renderShape(Generator &G) {
  unsigned Percentile = G.below(100);
  if (Percentile < 60)
    return {1, 1};
  if (Percentile < 75)
    return {1, 2};
  if (Percentile < 85)
    return {1, 4};
  if (Percentile < 93)
    return {1, 8};
  if (Percentile < 97)
    return {4, 4, true, Adjacency::None};
  return {G.below(2) ? 4U : 8U, 8, true,
          G.below(2) ? Adjacency::Rack : Adjacency::None};
}

Load dakar(std::uint64_t Seed) {
  Generator G("dakar", Seed);
  G.addWorkers(48, 8, 8, 8, "w");
  G.Result.Guarantees = {{"atelier", {{8, 4, true, 1}, {8, 1, false, 4}}},
                         {"baobab", {{8, 1, false, 6}}},
                         {"cinema", {{4, 1, false, 8}}}};
  G.Result.Terms = {
      {"atelier", {2}}, {"baobab", {1}}, {"cinema", {1}}, {"djembe", {1}}};
  constexpr WallMs End = 6 * Hour;
  for (WallMs At = 0; At < End - Hour; At += G.below(18 * Second)) {
    Shape S = renderShape(G);
    bool Long = G.below(20) == 0;
    G.addJob(G.below(5) < 3 ? "djembe" : "atelier", At, S,
             G.logNormal(Long ? 40.0 * Minute : 4.0 * Minute, 0.8),
             G.below(10) < 8);
  }
  for (WallMs At = Minute; At < End - Hour; At += G.below(4 * Minute))
    G.addUrgentJob(G.below(2) ? "djembe" : "atelier", At, 1U << G.below(3));
  for (unsigned AtHour : {2, 4})
    for (unsigned A : {1, 2})
      G.requestUnits(G.Result.Guarantees[A], AtHour * Hour, 20 * Minute);
  G.addBurst("djembe", Hour, false);
  G.addBurst("djembe", 3 * Hour, true);
  G.Result.Faults = {{"wr10001", 4 * Hour + 40 * Minute, 5 * Hour}};
  return G.finish(End);
}

Load thailand(std::uint64_t Seed) {
  Generator G("thailand", Seed);
  G.addWorkers(48, 6, 8, 8, "w");
  G.Result.Guarantees = {{"chiangmai", {{8, 2, true, 2}}},
                         {"lampang", {{8, 1, false, 4}, {4, 1, false, 4}}},
                         {"nan", {{2, 1, false, 8}}}};
  G.Result.Terms = {
      {"chiangmai", {2}}, {"lampang", {1}}, {"nan", {1}}, {"phrae", {1}}};
  constexpr WallMs End = 6 * Hour;
  // Overnight redraws: all submitted in the evening; most can be resumed.
  for (unsigned N = 0; N != 900; ++N) {
    unsigned Size = 1U << G.below(4);
    bool Gang = G.below(12) == 0;
    Shape S = Gang ? Shape{2U << G.below(3), 8, true, Adjacency::None}
                   : Shape{1, Size};
    G.addJob(G.below(3) ? "phrae" : "chiangmai", G.below(Hour), S,
             G.logNormal(12.0 * Minute, 0.8), G.below(10) < 9);
  }
  for (WallMs At = Minute; At < End - Hour; At += G.below(30 * Second))
    G.addUrgentJob(G.below(2) ? "nan" : "phrae", At, 1U << G.below(3));
  for (unsigned AtHour : {1, 3})
    G.requestUnits(G.Result.Guarantees[1], AtHour * Hour, 15 * Minute);
  G.addBurst("phrae", 90 * Minute, false);
  G.addBurst("phrae", 2 * Hour, true);
  G.Result.Faults = {{"wr10002", 4 * Hour, 4 * Hour + 20 * Minute}};
  return G.finish(End);
}

// Adds the jobs that fill the pool at time 0: gangs of up to 64 single-slot
// tasks on workers without accelerators, and jobs that need accelerators.
static void fillPool(Generator &G, double Scale, unsigned Accounts) {
  auto Account = [&] { return "m" + std::to_string(1000 + G.below(Accounts)); };
  unsigned PlainSlots = static_cast<unsigned>(82'000 * Scale);
  for (unsigned Placed = 0; Placed < PlainSlots;) {
    Shape S{32 + G.below(33), 1, false, Adjacency::None};
    G.addJob(Account(), 0, S, G.logNormal(90.0 * Minute, 1), true);
    Placed += S.Tasks;
  }
  unsigned AcceleratedSlots = static_cast<unsigned>(5'000 * Scale);
  for (unsigned Placed = 0; Placed < AcceleratedSlots;) {
    Shape S{1, 1U << G.below(4)};
    G.addJob(Account(), 0, S, G.logNormal(60.0 * Minute, 1), G.below(10) < 8);
    Placed += S.SlotsPerTask;
  }
}

static Load generateTarget(const char *Name, std::uint64_t Seed, double Scale) {
  Generator G(Name, Seed);
  G.addWorkers(static_cast<unsigned>(675 * Scale), 15, 8, 8, "g");
  G.addWorkers(static_cast<unsigned>(2'925 * Scale), 15, 32, 0, "p");
  auto Accounts = static_cast<unsigned>(760 * Scale);
  for (unsigned A = 0; A != Accounts; ++A) {
    std::string AccountName = "m" + std::to_string(1000 + A);
    G.Result.Terms[AccountName] = {1 + A % 3};
    if (A % 4 == 0)
      G.Result.Guarantees.push_back(
          {AccountName, {{A % 8 ? 4U : 8U, 1, false, 1}}});
  }
  fillPool(G, Scale, Accounts);
  constexpr WallMs Start = 2 * Minute, End = 32 * Minute;
  auto Account = [&] { return "m" + std::to_string(1000 + G.below(Accounts)); };
  auto Interval = [&](double Mean) {
    return 1 + G.below(static_cast<unsigned>(2 * Mean / Scale));
  };
  for (WallMs At = Start; At < End - 5 * Minute; At += Interval(2.0 * Second)) {
    bool Accelerated = G.below(3) == 0;
    Shape S = Accelerated
                  ? Shape{1U << G.below(4), 1U << G.below(4), true,
                          G.below(2) ? Adjacency::Rack : Adjacency::None}
                  : Shape{1 + G.below(64), 1, false, Adjacency::None};
    G.addJob(Account(), At, S, G.logNormal(10.0 * Minute, 1), G.below(10) < 8);
  }
  for (WallMs At = Start; At < End - 5 * Minute; At += Interval(5.0 * Second))
    G.addUrgentJob(Account(), At, 1U << G.below(3));
  for (std::size_t N = 0; N < G.Result.Guarantees.size(); N += 2)
    G.requestUnits(G.Result.Guarantees[N], Start + G.below(20 * Minute),
                   5 * Minute);
  G.addBurst(Account(), 8 * Minute, false);
  G.addBurst(Account(), 14 * Minute, true);
  G.Result.Faults = {{"gr10001", 20 * Minute, 25 * Minute}};
  G.Result.MeasureFromMs = Start;
  return G.finish(End);
}

Load target(std::uint64_t Seed) { return generateTarget("target", Seed, 1); }

Load targetCell(std::uint64_t Seed) {
  return generateTarget("target-cell", Seed, 1.0 / 5);
}

} // namespace heathersaddle::bench
