// Runs the fuzzer on many seeds and prints the violations that it detected.
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
  std::uint64_t FirstSeed = 1;
  std::uint64_t SeedCount = 300;
  unsigned StepsPerSeed = 60;
  unsigned ThreadCount = 1;
  bool Shrink = true;
  bool StopAtFirst = false;
  bool Verbose = false;
  bool HoldCommands = false;
  RunSettings Settings;
};

struct Totals {
  std::uint64_t Seeds = 0, Steps = 0, Faults = 0, Violations = 0;
  std::uint64_t Records = 0, Starts = 0, FinalOutcomes = 0;
};

class Campaign {
public:
  explicit Campaign(const Options &Opts) : Opts(Opts) {}

  int run() {
    std::vector<std::thread> Threads;
    for (unsigned I = 1; I < Opts.ThreadCount; ++I)
      Threads.emplace_back([this] { runSeeds(); });
    runSeeds();
    for (std::thread &T : Threads)
      T.join();
    std::cout << "fuzz: records=" << Total.Records << " starts=" << Total.Starts
              << " outcomes=" << Total.FinalOutcomes << "\n";
    std::cout << "fuzz: seeds=" << Total.Seeds << " steps=" << Total.Steps
              << " faults=" << Total.Faults
              << " violations=" << Total.Violations << std::endl;
    return Total.Violations ? 1 : 0;
  }

private:
  void runSeeds() {
    for (;;) {
      std::uint64_t I = NextIndex++;
      if (I >= Opts.SeedCount || (Opts.StopAtFirst && ViolationSeen))
        return;
      runSeed(Opts.FirstSeed + I);
    }
  }

  void runSeed(std::uint64_t Seed) {
    RunSettings S = Opts.Settings;
    S.Seed = Seed;
    std::vector<Step> Steps =
        drawSteps(Seed, Opts.StepsPerSeed, Opts.HoldCommands);
    RunResult R = heathersaddle::fuzz::run(S, Steps);
    {
      std::lock_guard Lock(Mutex);
      ++Total.Seeds;
      Total.Steps += R.Steps;
      Total.Faults += R.Faults;
      Total.Records += R.Records;
      Total.Starts += R.Starts;
      Total.FinalOutcomes += R.FinalOutcomes;
      Total.Violations += R.FirstViolation.has_value();
    }
    if (Opts.Verbose)
      print("seed=" + std::to_string(Seed) +
            " records=" + std::to_string(R.Records) +
            " starts=" + std::to_string(R.Starts) + "\n");
    if (R.FirstViolation)
      explain(S, std::move(Steps), R);
  }

  void explain(const RunSettings &S, std::vector<Step> Steps,
               const RunResult &R) {
    ViolationSeen = true;
    std::string Text =
        "violation: seed=" + std::to_string(S.Seed) +
        " step=" + std::to_string(R.FirstViolation->AfterStep) +
        " at_ms=" + std::to_string(R.FirstViolation->At.count()) +
        " rule=" + R.FirstViolation->Rule + ": " + R.FirstViolation->Detail +
        "\n";
    if (Opts.Shrink) {
      Steps.resize(std::min(Steps.size(), R.FirstViolation->AfterStep));
      Steps = shrink(S, std::move(Steps), R.FirstViolation->Rule);
      Text += "  shrunk to " + std::to_string(Steps.size()) + " steps:\n";
      for (const Step &T : Steps)
        Text += "    " + describe(T) + "\n";
      if (auto Again = heathersaddle::fuzz::run(S, Steps).FirstViolation)
        Text += "  at_ms=" + std::to_string(Again->At.count()) + " " +
                Again->Detail + "\n";
    }
    print(Text);
  }

  void print(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    std::cout << Text << std::flush;
  }

  Options Opts;
  std::atomic<std::uint64_t> NextIndex{0};
  std::atomic<bool> ViolationSeen{false};
  std::mutex Mutex;
  Totals Total;
};

} // namespace

// Switches off one safety rule. Returns false if this build cannot.
static bool switchOff(const std::string &Rule, Options &Opts) {
  if (Rule == "tombstones") {
    Opts.Settings.RefuseStoppedAttempts = false;
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
  Options Opts;
  bool NoShrink = false;
  bool Trace = false;
  std::string Without;
  cxxopts::Options Flags("heathersaddle_fuzz", "Stateful failure testing");
  auto Add = Flags.add_options();
  Add("seed", "first seed", cxxopts::value(Opts.FirstSeed));
  Add("seeds", "number of seeds", cxxopts::value(Opts.SeedCount));
  Add("steps", "steps per seed", cxxopts::value(Opts.StepsPerSeed));
  Add("jobs", "threads", cxxopts::value(Opts.ThreadCount));
  Add("no-shrink", "print violations without shrinking their steps",
      cxxopts::value(NoShrink));
  Add("first", "stop at the first violation", cxxopts::value(Opts.StopAtFirst));
  Add("hold-commands", "workers also carry commands out late",
      cxxopts::value(Opts.HoldCommands));
  Add("trace", "print every event of a single seed", cxxopts::value(Trace));
  Add("verbose", "print each seed", cxxopts::value(Opts.Verbose));
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
  if (!switchOff(Without, Opts)) {
    std::cerr << "heathersaddle_fuzz: this build cannot switch off \""
              << Without << "\"\n";
    return 2;
  }
  Opts.Shrink = !NoShrink && !Trace;
  if (Trace)
    Opts.Settings.Trace = [](const std::string &Line) {
      std::cout << Line << "\n";
    };
  return Campaign(Opts).run();
}
