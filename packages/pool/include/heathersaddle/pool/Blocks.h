#ifndef HEATHERSADDLE_POOL_BLOCKS_H
#define HEATHERSADDLE_POOL_BLOCKS_H

#include "heathersaddle/pool/Shape.h"

namespace heathersaddle::pool {

/// The lowest \p Count slots.
constexpr SlotMask lowSlots(unsigned Count) {
  return Count >= MaxSlots ? ~SlotMask{0} : (SlotMask{1} << Count) - 1;
}

/// Whether \p Slots is one contiguous range inside an aligned power-of-two
/// block of the smallest size that can hold it.
bool isTaskRange(SlotMask Slots);

/// Starts of the aligned, wholly free blocks of 2^\p Order slots.
SlotMask freeBlocks(SlotMask Free, unsigned Order);

/// Bit K is set when a free block of 2^K slots is not part of a larger one.
unsigned maximalOrders(SlotMask Free);

/// Order of the largest free aligned block; -1 when nothing is free.
int largestOrder(SlotMask Free);

/// A range of slots and the order of the free block that contains it.
struct Fit {
  SlotMask Slots = 0; ///< 0: does not fit.
  unsigned Order = 0;
};

/// Best fit: the range of \p Size slots that breaks up the smallest free block;
/// the lowest one when there are several.
Fit bestFit(SlotMask Free, unsigned Size);

/// Number of tasks of \p Size slots that fit at the same time.
unsigned countFits(SlotMask Free, unsigned Size);

} // namespace heathersaddle::pool

#endif
