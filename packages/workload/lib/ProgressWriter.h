#ifndef HEATHERSADDLE_WORKLOAD_LIB_PROGRESSWRITER_H
#define HEATHERSADDLE_WORKLOAD_LIB_PROGRESSWRITER_H

#include "heathersaddle/workload/Job.h"
#include <array>
#include <boost/json/serializer.hpp>
#include <charconv>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace heathersaddle::workload {

/// Takes a text in pieces.
template <class T>
concept TextSink = requires(T &Out, std::string_view Text) {
  Out.append(Text);
};

/// A TextSink that only counts.
struct ByteCounter {
  std::size_t Bytes = 0;
  void append(std::string_view Text) { Bytes += Text.size(); }
};

/// Of the key of a progress record; the job's id follows.
inline constexpr std::string_view ProgressKeyPrefix = "p/";

/// Writes the value of a job's progress record. The record and its size come
/// from the same code, so that they cannot differ.
template <TextSink Sink> class ProgressWriter {
public:
  explicit ProgressWriter(Sink &Out) : Out(Out) {}

  void job(const Job &J) {
    Out.append("{\"s\":");
    number(static_cast<unsigned>(J.State));
    if (J.ended()) {
      Out.append(",\"e\":");
      number(J.EndedMs);
    } else {
      Out.append(",\"t\":[");
      rows(J);
      Out.append("]");
    }
    Out.append("}");
  }

  /// The entry of a task that is not done.
  void entry(const TaskKey &K, const TaskProgress &T) {
    Out.append("[");
    numbers({K.Occurrence, K.Step, K.Index, static_cast<unsigned>(T.Phase),
             T.Run, T.Failures, T.FailedRun});
    Out.append(",");
    text(T.Checkpoint);
    if (T.Phase == TaskPhase::Placed) {
      Out.append(",");
      text(T.Worker);
      Out.append(",");
      number(T.WorkerStartMs);
      if (!T.WorkerAddress.empty()) {
        Out.append(",");
        text(T.WorkerAddress);
      }
    }
    if (T.CrashedRun || T.Lapsed.Run) {
      Out.append(",");
      numbers({T.Crashes, T.CrashedRun});
    }
    if (T.Lapsed.Run) {
      Out.append(",[");
      number(T.Lapsed.Run);
      Out.append(",");
      text(T.Lapsed.Worker);
      Out.append(",");
      number(T.Lapsed.WorkerStartMs);
      Out.append(",");
      text(T.Lapsed.WorkerAddress);
      Out.append("]");
    }
    if (T.Crashes) {
      Out.append(T.Lapsed.Run ? ",[" : ",[],[");
      for (std::size_t N = 0; N < T.CrashedWorkers.size(); ++N) {
        Out.append(N ? "," : "");
        text(T.CrashedWorkers[N]);
      }
      Out.append("],");
      number(T.CrashDecibans);
    }
    Out.append("]");
  }

private:
  void rows(const Job &J) {
    for (auto It = J.Tasks.begin(); It != J.Tasks.end();) {
      if (It != J.Tasks.begin())
        Out.append(",");
      const auto &[K, T] = *It;
      ++It;
      if (T.Phase != TaskPhase::Done) {
        entry(K, T);
        continue;
      }
      unsigned Last = K.Index;
      for (; It != J.Tasks.end() && It->second.Phase == TaskPhase::Done &&
             It->second.Run == T.Run &&
             It->first == TaskKey{K.Occurrence, K.Step, Last + 1};
           ++It)
        ++Last;
      Out.append("[");
      numbers({K.Occurrence, K.Step, K.Index, static_cast<unsigned>(T.Phase),
               T.Run});
      if (Last != K.Index) {
        Out.append(",");
        number(Last);
      }
      Out.append("]");
    }
  }
  void number(std::int64_t N) {
    std::array<char, 24> Digits{};
    auto End =
        std::to_chars(Digits.data(), Digits.data() + Digits.size(), N).ptr;
    Out.append(std::string_view(Digits.data(), End));
  }
  void numbers(std::initializer_list<unsigned> All) {
    for (const unsigned *N = All.begin(); N != All.end(); ++N) {
      if (N != All.begin())
        Out.append(",");
      number(*N);
    }
  }
  void text(std::string_view T) {
    Json.reset(boost::json::string_view(T.data(), T.size()));
    std::array<char, 512> Piece{};
    while (!Json.done()) {
      auto Read = Json.read(Piece.data(), Piece.size());
      Out.append(std::string_view(Read.data(), Read.size()));
    }
  }

  Sink &Out;
  boost::json::serializer Json;
};

} // namespace heathersaddle::workload

#endif
