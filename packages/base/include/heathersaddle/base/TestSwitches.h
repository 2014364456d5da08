#ifndef HEATHERSADDLE_BASE_TESTSWITCHES_H
#define HEATHERSADDLE_BASE_TESTSWITCHES_H

namespace heathersaddle::base {

/// Safety rules that a test build can disable one at a time, to check that the
/// failure tests detect it. Released programs are built without
/// HEATHERSADDLE_TEST_SWITCHES and always enforce all rules.
enum class SafetyRule {
  None,
  EpochCheck,     ///< A record is valid only under the cell's epoch and owner.
  OwnRecordFirst, ///< A start is sent only after its record was applied.
  SnapshotCheck   ///< A snapshot is used only when its hash matches.
};

#ifdef HEATHERSADDLE_TEST_SWITCHES
inline SafetyRule DisabledRule = SafetyRule::None;
inline bool enforced(SafetyRule R) { return R != DisabledRule; }
#else
constexpr bool enforced(SafetyRule) { return true; }
#endif

} // namespace heathersaddle::base

#endif
