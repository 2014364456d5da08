#ifndef HEATHERSADDLE_DAEMON_VIEWS_H
#define HEATHERSADDLE_DAEMON_VIEWS_H

#include "Operations.h"
#include "heathersaddle/state/State.h"
#include <map>

namespace heathersaddle::daemon {

/// A cell in the response to GET /v1/pool. Copied from the state on the control
/// thread, encoded on a traffic thread.
struct CellView {
  std::string Name;
  std::string Owner;
  std::uint64_t Epoch = 0;
  std::map<std::string, unsigned> Workers; ///< By status.
  unsigned SlotsTotal = 0;
  unsigned SlotsUsed = 0;
  unsigned JobsLive = 0;
  unsigned OwnSlotsUsed = 0;
  std::vector<pool::Home> OwnHomes;
  std::map<std::string, unsigned> SlotsByAccount; ///< For operators only.
  std::map<std::string, unsigned> HomesByAccount; ///< For operators only.
};

struct PoolView {
  std::vector<CellView> Cells;
  std::string Account;               ///< Empty: the operators' view.
  state::Usage Usage;                ///< Of the account.
  std::vector<std::string> Degraded; ///< For operators only.
  std::size_t DegradedCount = 0;
};

PoolView makePoolView(const state::State &S, std::string_view Account);
boost::json::value toJson(const PoolView &View);
boost::json::value toJson(const control::JobAnswer &Answer);
boost::json::value toJson(const state::ListVerdict &Verdict);

/// All accounts with their tokens and request rates.
std::shared_ptr<const AccountDirectory>
makeAccountDirectory(const state::State &S);

/// The slots that a task of \p Submitted needs to get its cores and memory on
/// every worker of the pool, or an error that names the field.
base::Expected<unsigned> requiredSlots(const state::State &S,
                                       const Submission &Submitted);

} // namespace heathersaddle::daemon

#endif
