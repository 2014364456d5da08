// Buddy allocation on 64-bit slot masks. Each function costs at most a few
// operations per order or per block of one worker.
#include "heathersaddle/pool/Blocks.h"
#include <bit>

namespace heathersaddle::pool {

static constexpr unsigned Orders = 7; // Blocks of 1 to 64 slots.

// Masks of the block starts of each order: the bits at multiples of 2^Order.
static constexpr SlotMask Starts[Orders] = {
    ~SlotMask{0},          0x5555555555555555ULL, 0x1111111111111111ULL,
    0x0101010101010101ULL, 0x0001000100010001ULL, 0x0000000100000001ULL,
    0x0000000000000001ULL};

bool isTaskRange(SlotMask Slots) {
  if (Slots == 0)
    return false;
  unsigned Low = std::countr_zero(Slots);
  unsigned Size = std::popcount(Slots);
  if (Slots >> Low != lowSlots(Size))
    return false;
  unsigned Block = std::bit_ceil(Size);
  return Low / Block == (Low + Size - 1) / Block;
}

SlotMask freeBlocks(SlotMask Free, unsigned Order) {
  for (unsigned K = 0; K != Order; ++K)
    Free &= (Free >> (1U << K)) & Starts[K + 1];
  return Free;
}

unsigned maximalOrders(SlotMask Free) {
  unsigned Found = 0;
  SlotMask Blocks = Free;
  for (unsigned K = 0; K + 1 != Orders; ++K) {
    SlotMask Larger = Blocks & (Blocks >> (1U << K)) & Starts[K + 1];
    if (Blocks & ~(Larger | (Larger << (1U << K))))
      Found |= 1U << K;
    Blocks = Larger;
  }
  return Blocks ? Found | 1U << (Orders - 1) : Found;
}

int largestOrder(SlotMask Free) {
  return static_cast<int>(std::bit_width(maximalOrders(Free))) - 1;
}

// The lowest block of 2^Order slots that is not part of a larger free block, or
// else the lowest one split from the smallest larger block.
static Fit bestBlock(SlotMask Free, unsigned Order) {
  SlotMask Blocks = freeBlocks(Free, Order);
  SlotMask Lowest = Blocks & (~Blocks + 1);
  for (unsigned K = Order; Blocks; ++K) {
    if (K + 1 == Orders)
      return {Blocks * lowSlots(1U << Order), K};
    SlotMask Larger = Blocks & (Blocks >> (1U << K)) & Starts[K + 1];
    SlotMask Maximal = Blocks & ~(Larger | (Larger << (1U << K)));
    if (Maximal) {
      Lowest = Maximal & (~Maximal + 1);
      return {Lowest * lowSlots(1U << Order), K};
    }
    Blocks = Larger;
  }
  return {};
}

// The lowest range of Size free slots in the block at Base; 0 when there is
// none.
static SlotMask rangeIn(SlotMask Free, unsigned Base, unsigned Block,
                        unsigned Size) {
  for (unsigned Low = Base; Low + Size <= Base + Block; ++Low) {
    SlotMask Range = lowSlots(Size) << Low;
    if ((Free & Range) == Range)
      return Range;
  }
  return 0;
}

Fit bestFit(SlotMask Free, unsigned Size) {
  if (Size == 0 || Size > MaxSlots)
    return {};
  unsigned Block = std::bit_ceil(Size);
  unsigned Order = std::countr_zero(Block);
  if (Block == Size)
    return bestBlock(Free, Order);
  for (unsigned Base = 0; Base < MaxSlots; Base += Block) {
    SlotMask Whole = lowSlots(Block) << Base;
    if ((Free & Whole) == Whole)
      continue;
    if (SlotMask Range = rangeIn(Free, Base, Block, Size))
      return {Range, Order - 1};
  }
  Fit C = bestBlock(Free, Order);
  C.Slots &= (C.Slots & (~C.Slots + 1)) * lowSlots(Size);
  return C;
}

unsigned countFits(SlotMask Free, unsigned Size) {
  if (Size == 0 || Size > MaxSlots)
    return 0;
  unsigned Block = std::bit_ceil(Size);
  if (Block == Size)
    return std::popcount(freeBlocks(Free, std::countr_zero(Block)));
  unsigned Count = 0;
  for (unsigned Base = 0; Base < MaxSlots; Base += Block)
    Count += rangeIn(Free, Base, Block, Size) != 0;
  return Count;
}

} // namespace heathersaddle::pool
