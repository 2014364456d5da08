#ifndef HEATHERSADDLE_STATE_LISTS_H
#define HEATHERSADDLE_STATE_LISTS_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/base/Time.h"
#include "heathersaddle/pool/Shape.h"
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::state {

/// The guarantee and the limits of each account that has the plan.
struct Plan {
  std::string Name;
  std::vector<pool::GuaranteeUnit> Guarantee;
  unsigned Share = 1;    ///< Weight for capacity over the guarantee.
  unsigned MaxSlots = 0; ///< Slots in use at a time; 0 means no limit.
  unsigned MaxJobs = 1000;
  unsigned RequestsPerSecond = 50;
  unsigned Burst = 100;
  bool operator==(const Plan &) const = default;
};

/// A client account.
struct Customer {
  std::string Account;
  std::string TokenSha256; ///< 64 lower-case hex digits.
  std::string Plan;
  bool Departed = false;
  bool operator==(const Customer &) const = default;
};

using PlanMap = std::map<std::string, Plan, std::less<>>;
using CustomerMap = std::map<std::string, Customer, std::less<>>;

enum class ListKind { Customers, Plans };

std::string_view name(ListKind Kind);
base::Expected<ListKind> listKind(std::string_view Name);

/// A new version of one list as a difference from version \p Base.
struct ListChange {
  ListKind Kind = ListKind::Customers;
  std::uint64_t Base = 0;
  std::vector<Plan> PutPlans;
  std::vector<Customer> PutCustomers;
  std::vector<std::string> Remove;
  bool operator==(const ListChange &) const = default;
};

/// Reads a whole list, `{"plans":[...]}` or `{"customers":[...]}`.
base::Expected<PlanMap> parsePlans(const boost::json::value &Value);
base::Expected<CustomerMap> parseCustomers(const boost::json::value &Value);
boost::json::value toJson(const PlanMap &Plans);
boost::json::value toJson(const CustomerMap &Customers);

/// The change that turns the first list into the second.
ListChange difference(const PlanMap &From, const PlanMap &To,
                      std::uint64_t Base);
ListChange difference(const CustomerMap &From, const CustomerMap &To,
                      std::uint64_t Base);

} // namespace heathersaddle::state

#endif
