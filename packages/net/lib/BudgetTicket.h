#ifndef HEATHERSADDLE_NET_BUDGETTICKET_H
#define HEATHERSADDLE_NET_BUDGETTICKET_H

#include "heathersaddle/net/ClientBudget.h"
#include <memory>
#include <utility>

namespace heathersaddle::net {

/// A connection's part of a budget, released on destruction. Without a budget
/// everything is granted.
class BudgetTicket {
public:
  BudgetTicket() = default;
  BudgetTicket(std::shared_ptr<ClientBudget> Budget, ClientBudget::Id Id)
      : Budget(std::move(Budget)), Id(Id) {}
  ~BudgetTicket() {
    if (Budget)
      Budget->release(Id);
  }
  BudgetTicket(BudgetTicket &&Other) noexcept
      : Budget(std::move(Other.Budget)), Id(Other.Id), Held(Other.Held) {}
  BudgetTicket &operator=(BudgetTicket &&) = delete;
  BudgetTicket(const BudgetTicket &) = delete;
  BudgetTicket &operator=(const BudgetTicket &) = delete;

  bool hold(std::size_t Bytes) {
    if (!Budget || Bytes == Held)
      return true;
    if (!Budget->hold(Id, Bytes))
      return false;
    Held = Bytes;
    return true;
  }
  void holdRequired(std::size_t Bytes) {
    if (!Budget)
      return;
    Budget->holdRequired(Id, Bytes);
    Held = Bytes;
  }
  /// False if the connection had to give way.
  bool enter(ClientBudget::Phase P) { return !Budget || Budget->enter(Id, P); }
  void progress(std::size_t Bytes) {
    if (Budget)
      Budget->progress(Id, Bytes);
  }
  void markKnown() {
    if (Budget)
      Budget->markKnown(Id);
  }

private:
  std::shared_ptr<ClientBudget> Budget;
  ClientBudget::Id Id = 0;
  std::size_t Held = 0;
};

} // namespace heathersaddle::net

#endif
