// Approach: cells are ranked in classes: those that could ever hold the job
// come before those that could not, and of the former those with an owner come
// first. Within a class the cell with the fewest live jobs per slot wins, then
// the first by name.
#include "Routing.h"
#include <bit>
#include <tuple>

namespace heathersaddle::control {

namespace {
/// The number of tasks of \p Width slots that fit into the free slots \p Free.
unsigned roomFor(pool::SlotMask Free, unsigned Width) {
  unsigned Block = std::bit_ceil(std::max(1U, Width));
  unsigned Count = 0;
  pool::SlotMask Mask = Block >= pool::MaxSlots
                            ? ~pool::SlotMask(0)
                            : (pool::SlotMask(1) << Block) - 1;
  for (unsigned At = 0; At < pool::MaxSlots; At += Block)
    if (((Free >> At) & Mask) == Mask)
      ++Count;
  return Count;
}

unsigned roomAtHome(const pool::Pool &P, std::string_view Account,
                    const pool::Shape &S) {
  unsigned Room = 0;
  for (const pool::Home &H : P.homes()) {
    if (H.Account != Account)
      continue;
    for (const pool::Placement &Part : H.Slots)
      Room += roomFor(Part.Slots & P.freeSlots(Part.Worker), S.SlotsPerTask);
  }
  return Room;
}
} // namespace

std::string chooseCell(const state::State &St, const state::JobSpec &Spec) {
  std::string Best;
  std::tuple<int, double> BestScore{0, 0};
  for (const auto &[Name, Cell] : St.cells()) {
    int Class = 2;
    if (!Cell.Pool.couldEverFit(Spec.Shape))
      Class = 4;
    else if (Cell.Owner.empty())
      Class = 3;
    else if (roomAtHome(Cell.Pool, Spec.Account, Spec.Shape) >=
             Spec.Shape.Tasks)
      Class = 0;
    else if (Cell.Pool.findFree(Spec.Shape))
      Class = 1;
    double Load =
        double(Cell.Live.size()) / double(std::max(1U, Cell.Pool.upSlots()));
    std::tuple Score{Class, Load};
    if (Best.empty() || Score < BestScore) {
      Best = Name;
      BestScore = Score;
    }
  }
  return Best;
}

} // namespace heathersaddle::control
