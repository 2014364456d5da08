// Parsing, writing and comparing the two operator lists. Whether a list comes
// into force is decided when its record is applied; see ApplyLists.cpp.

#include "heathersaddle/state/Lists.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/state/State.h"
#include <algorithm>

namespace heathersaddle::state {

namespace json = boost::json;
using base::ErrorCode;
using base::JsonReader;

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxListEntries = 10'000;
constexpr std::size_t MaxGuaranteeUnits = 64;

bool isName(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
  });
}

bool isSha256(std::string_view Text) {
  return Text.size() == 64 && std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

pool::GuaranteeUnit parseUnit(const json::value &Value, std::string_view Path,
                              JsonReader &Parent) {
  JsonReader R(Value, "read list", Path);
  R.allowOnly({"accelerators", "workers", "within", "count"});
  pool::GuaranteeUnit U;
  U.Accelerators =
      static_cast<unsigned>(R.integer("accelerators", 1, pool::MaxSlots));
  U.Workers = static_cast<unsigned>(R.integerOr("workers", 1, 1, 64));
  U.Count = static_cast<unsigned>(R.integerOr("count", 1, 1, 1024));
  std::string Within = R.string("within", "rack", MaxNameBytes);
  if (Within != "rack" && Within != "none")
    R.fail("within", "must be \"rack\" or \"none\"");
  U.WithinRack = U.Workers > 1 && Within == "rack";
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return U;
}

Plan parsePlan(const json::value &Value, std::string_view Path,
               JsonReader &Parent) {
  JsonReader R(Value, "read list", Path);
  R.allowOnly({"name", "guarantee", "share", "max_slots", "max_jobs",
               "requests_per_second", "burst"});
  Plan P;
  P.Name = R.string("name", MaxNameBytes);
  if (!isName(P.Name))
    R.fail("name", "must consist of letters, digits, '-', '_' and '.'");
  P.Share = static_cast<unsigned>(R.integerOr("share", 1, 1, 1'000));
  P.MaxSlots = static_cast<unsigned>(R.integerOr("max_slots", 0, 0, 1'000'000));
  P.MaxJobs = static_cast<unsigned>(R.integerOr("max_jobs", 1000, 1, 50'000));
  P.RequestsPerSecond =
      static_cast<unsigned>(R.integerOr("requests_per_second", 50, 1, 10'000));
  P.Burst = static_cast<unsigned>(R.integerOr("burst", 100, 1, 100'000));
  if (const json::array *Units = R.array("guarantee", false, MaxGuaranteeUnits))
    for (std::size_t I = 0; I < Units->size(); ++I)
      P.Guarantee.push_back(parseUnit(
          (*Units)[I],
          std::string(Path) + "guarantee[" + std::to_string(I) + "].", Parent));
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return P;
}

Customer parseCustomer(const json::value &Value, std::string_view Path,
                       JsonReader &Parent) {
  JsonReader R(Value, "read list", Path);
  R.allowOnly({"account", "token_sha256", "plan", "departed"});
  Customer C;
  C.Account = R.string("account", MaxNameBytes);
  if (!isName(C.Account))
    R.fail("account", "must consist of letters, digits, '-', '_' and '.'");
  C.TokenSha256 = R.string("token_sha256", 64);
  if (!isSha256(C.TokenSha256))
    R.fail("token_sha256", "must be 64 lower-case hexadecimal digits");
  C.Plan = R.string("plan", MaxNameBytes);
  C.Departed = R.booleanOr("departed", false);
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return C;
}

/// Reads the array \p Field of a complete list into a map by name.
template <class Map, class Parse, class Key>
base::Expected<Map> parseList(const json::value &Value, std::string_view Field,
                              Parse ParseOne, Key KeyOf) {
  JsonReader R(Value, "read list");
  R.allowOnly({Field});
  Map Result;
  const json::array *Items = R.array(Field, true, MaxListEntries);
  for (std::size_t I = 0; Items && I < Items->size(); ++I) {
    std::string Path = std::string(Field) + "[" + std::to_string(I) + "].";
    // Errors from the entries contain their full path already.
    auto Item = ParseOne((*Items)[I], Path, R);
    std::string Name = KeyOf(Item);
    if (!Result.emplace(Name, std::move(Item)).second)
      R.fail(Path, "repeats the name " + Name);
  }
  if (const base::Error *E = R.error())
    return tl::unexpected(*E);
  return Result;
}

json::value unitToJson(const pool::GuaranteeUnit &U) {
  return {{"accelerators", U.Accelerators},
          {"workers", U.Workers},
          {"within", U.WithinRack ? "rack" : "none"},
          {"count", U.Count}};
}

/// Fills \p Put and \p Remove so that they turn \p From into \p To.
template <class Map, class Item>
void findDifferences(const Map &From, const Map &To, std::vector<Item> &Put,
                     std::vector<std::string> &Remove) {
  for (const auto &[Name, New] : To) {
    auto Old = From.find(Name);
    if (Old == From.end() || !(Old->second == New))
      Put.push_back(New);
  }
  for (const auto &[Name, Old] : From)
    if (!To.count(Name))
      Remove.push_back(Name);
}

} // namespace

std::string_view name(ListKind Kind) {
  return Kind == ListKind::Customers ? "customers" : "plans";
}

base::Expected<ListKind> listKind(std::string_view Name) {
  if (Name == "customers")
    return ListKind::Customers;
  if (Name == "plans")
    return ListKind::Plans;
  return base::makeError(ErrorCode::NotFound, "read list",
                         "the lists are \"customers\" and \"plans\"", "",
                         "list");
}

base::Expected<PlanMap> parsePlans(const json::value &Value) {
  return parseList<PlanMap>(Value, "plans", parsePlan,
                            [](const Plan &P) { return P.Name; });
}

base::Expected<CustomerMap> parseCustomers(const json::value &Value) {
  return parseList<CustomerMap>(Value, "customers", parseCustomer,
                                [](const Customer &C) { return C.Account; });
}

json::value toJson(const PlanMap &Plans) {
  json::array Items;
  for (const auto &[Name, P] : Plans) {
    json::array Units;
    for (const pool::GuaranteeUnit &U : P.Guarantee)
      Units.push_back(unitToJson(U));
    Items.push_back({{"name", P.Name},
                     {"guarantee", std::move(Units)},
                     {"share", P.Share},
                     {"max_slots", P.MaxSlots},
                     {"max_jobs", P.MaxJobs},
                     {"requests_per_second", P.RequestsPerSecond},
                     {"burst", P.Burst}});
  }
  return {{"plans", std::move(Items)}};
}

json::value toJson(const CustomerMap &Customers) {
  json::array Items;
  for (const auto &[Name, C] : Customers)
    Items.push_back({{"account", C.Account},
                     {"token_sha256", C.TokenSha256},
                     {"plan", C.Plan},
                     {"departed", C.Departed}});
  return {{"customers", std::move(Items)}};
}

ListChange difference(const PlanMap &From, const PlanMap &To,
                      std::uint64_t Base) {
  ListChange C;
  C.Kind = ListKind::Plans;
  C.Base = Base;
  findDifferences(From, To, C.PutPlans, C.Remove);
  return C;
}

ListChange difference(const CustomerMap &From, const CustomerMap &To,
                      std::uint64_t Base) {
  ListChange C;
  C.Kind = ListKind::Customers;
  C.Base = Base;
  findDifferences(From, To, C.PutCustomers, C.Remove);
  return C;
}

} // namespace heathersaddle::state
