// Runs many seeds of the fuzzer and prints what was violated.
#include "heathersaddle/base/TestSwitches.h"
#include "heathersaddle/fuzz/Run.h"
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

using namespace heathersaddle::fuzz;

namespace {

struct Options {
  std::uint64_t First = 1;
  std::uint64_t Seeds = 300;
  unsigned Steps = 60;
  unsigned Jobs = 1;
  bool Shrink = true;
  bool StopAtFirst = false;
  bool Verbose = false;
  bool HoldCommands = false;
  RunSettings Run;
};

struct Totals {
  std::uint64_t Seeds = 0, Steps = 0, Faults = 0, Violations = 0;
  std::uint64_t Records = 0, Starts = 0, Finals = 0;
};

class Campaign {
public:
  explicit Campaign(const Options &O) : O(O) {}

  int run() {
    std::vector<std::thread> Threads;
    for (unsigned I = 1; I < O.Jobs; ++I)
      Threads.emplace_back([this] { work(); });
    work();
    for (std::thread &T : Threads)
      T.join();
    std::cout << "fuzz: records=" << Sum.Records << " starts=" << Sum.Starts
              << " outcomes=" << Sum.Finals << "\n";
    std::cout << "fuzz: seeds=" << Sum.Seeds << " steps=" << Sum.Steps
              << " faults=" << Sum.Faults << " violations=" << Sum.Violations
              << std::endl;
    return Sum.Violations ? 1 : 0;
  }

private:
  void work() {
    for (;;) {
      std::uint64_t I = Next++;
      if (I >= O.Seeds || (O.StopAtFirst && Stop))
        return;
      one(O.First + I);
    }
  }

  void one(std::uint64_t Seed) {
    RunSettings S = O.Run;
    S.Seed = Seed;
    std::vector<Step> Steps = drawSteps(Seed, O.Steps, O.HoldCommands);
    RunResult R = heathersaddle::fuzz::run(S, Steps);
    {
      std::lock_guard Lock(Mutex);
      ++Sum.Seeds;
      Sum.Steps += R.Steps;
      Sum.Faults += R.Faults;
      Sum.Records += R.Records;
      Sum.Starts += R.Starts;
      Sum.Finals += R.Finals;
      Sum.Violations += R.Found.has_value();
    }
    if (O.Verbose)
      print("seed=" + std::to_string(Seed) +
            " records=" + std::to_string(R.Records) +
            " starts=" + std::to_string(R.Starts) + "\n");
    if (R.Found)
      explain(S, std::move(Steps), R);
  }

  void explain(const RunSettings &S, std::vector<Step> Steps,
               const RunResult &R) {
    Stop = true;
    std::string Text = "violation: seed=" + std::to_string(S.Seed) +
                       " step=" + std::to_string(R.Found->AfterStep) +
                       " at_ms=" + std::to_string(R.Found->At.count()) +
                       " rule=" + R.Found->Rule + ": " + R.Found->Detail + "\n";
    if (O.Shrink) {
      Steps.resize(std::min(Steps.size(), R.Found->AfterStep));
      Steps = shrink(S, std::move(Steps), R.Found->Rule);
      Text += "  shrunk to " + std::to_string(Steps.size()) + " steps:\n";
      for (const Step &T : Steps)
        Text += "    " + describe(T) + "\n";
      if (auto Again = heathersaddle::fuzz::run(S, Steps).Found)
        Text += "  at_ms=" + std::to_string(Again->At.count()) + " " +
                Again->Detail + "\n";
    }
    print(Text);
  }

  void print(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    std::cout << Text << std::flush;
  }

  Options O;
  std::atomic<std::uint64_t> Next{0};
  std::atomic<bool> Stop{false};
  std::mutex Mutex;
  Totals Sum;
};

} // namespace

// Switches off one safety rule; false when this build cannot.
static bool switchOff(const std::string &Rule, Options &O) {
  if (Rule == "tombstones") {
    O.Run.RememberStopped = false;
    return true;
  }
#ifdef HEATHERSADDLE_TEST_SWITCHES
  using heathersaddle::base::SafetyRule;
  const std::map<std::string, SafetyRule> Rules{
      {"epoch-check", SafetyRule::EpochCheck},
      {"own-record-first", SafetyRule::OwnRecordFirst},
      {"snapshot-check", SafetyRule::SnapshotCheck}};
  if (auto It = Rules.find(Rule); It != Rules.end()) {
    heathersaddle::base::DisabledRule = It->second;
    return true;
  }
#endif
  return Rule.empty();
}

int main(int Argc, char **Argv) {
  Options O;
  bool NoShrink = false;
  bool Trace = false;
  std::string Without;
  cxxopts::Options Flags("heathersaddle_fuzz", "Stateful failure testing");
  auto Add = Flags.add_options();
  Add("seed", "first seed", cxxopts::value(O.First));
  Add("seeds", "number of seeds", cxxopts::value(O.Seeds));
  Add("steps", "steps per seed", cxxopts::value(O.Steps));
  Add("jobs", "threads", cxxopts::value(O.Jobs));
  Add("no-shrink", "print violations at once", cxxopts::value(NoShrink));
  Add("first", "stop at the first violation", cxxopts::value(O.StopAtFirst));
  Add("hold-commands", "workers also carry commands out late",
      cxxopts::value(O.HoldCommands));
  Add("trace", "print every event of a single seed", cxxopts::value(Trace));
  Add("verbose", "print each seed", cxxopts::value(O.Verbose));
  Add("without", "safety rule to switch off (test builds only)",
      cxxopts::value(Without));
  Add("help", "print this help");
  try {
    auto Given = Flags.parse(Argc, Argv);
    if (Given.count("help")) {
      std::cout << Flags.help();
      return 0;
    }
  } catch (const std::exception &E) {
    std::cerr << "heathersaddle_fuzz: " << E.what() << "\n";
    return 2;
  }
  if (!switchOff(Without, O)) {
    std::cerr << "heathersaddle_fuzz: this build cannot switch off \""
              << Without << "\"\n";
    return 2;
  }
  O.Shrink = !NoShrink && !Trace;
  if (Trace)
    O.Run.Trace = [](const std::string &Line) { std::cout << Line << "\n"; };
  return Campaign(O).run();
}
