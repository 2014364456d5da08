// Versions of the two lists. A version is checked as a whole at its offset in
// the log: against the other list in force, the sizes of the live workers and
// the terms that departed accounts still hold. A rejected version changes only
// the history.

#include "Applier.h"
#include <algorithm>
#include <set>

namespace heathersaddle::state {

using base::ErrorCode;
using base::makeError;

namespace {

using HeldTermsMap = std::map<std::string, HeldTerms, std::less<>>;
using Result = base::Expected<void>;

Result checkReferences(const PlanMap &Plans, const CustomerMap &Customers) {
  std::map<std::string, std::string> ByToken;
  for (const auto &[Account, C] : Customers) {
    if (!Plans.count(C.Plan))
      return makeError(ErrorCode::InvalidArgument, "check lists",
                       "account " + Account + " has the unknown plan " + C.Plan,
                       "", "plan");
    auto [Other, New] = ByToken.emplace(C.TokenSha256, Account);
    if (!New)
      return makeError(ErrorCode::InvalidArgument, "check lists",
                       "accounts " + Other->second + " and " + Account +
                           " have the same token",
                       "", "token_sha256");
  }
  return {};
}

/// Accounts whose guarantee differs between \p Before and \p After. Their
/// running work outside their new homes is no longer guaranteed.
std::set<std::string, std::less<>>
changedAccounts(std::span<const pool::Guarantee> Before,
                std::span<const pool::Guarantee> After) {
  std::map<std::string, std::vector<pool::GuaranteeUnit>> Old, New;
  for (const pool::Guarantee &G : Before)
    Old[G.Account] = G.Units;
  for (const pool::Guarantee &G : After)
    New[G.Account] = G.Units;
  std::set<std::string, std::less<>> Changed;
  for (const auto &[Account, Units] : Old)
    if (New[Account] != Units)
      Changed.insert(Account);
  for (const auto &[Account, Units] : New)
    if (Old[Account] != Units)
      Changed.insert(Account);
  return Changed;
}

HeldTermsMap
heldTermsAfter(const HeldTermsMap &Held, const PlanMap &OldPlans,
               const CustomerMap &OldCustomers, const CustomerMap &Customers,
               const std::map<std::string, std::size_t, std::less<>> &Live,
               base::WallMs Clock) {
  HeldTermsMap After = Held;
  for (const auto &[Account, Old] : OldCustomers) {
    auto New = Customers.find(Account);
    bool Left = New == Customers.end() || New->second.Departed;
    if (!Left || Old.Departed || !Live.count(Account))
      continue;
    if (auto Plan = OldPlans.find(Old.Plan); Plan != OldPlans.end())
      After[Account] = {Plan->second, Clock};
  }
  // An account that is on the list again has the terms of its plan.
  std::erase_if(After, [&](const auto &Entry) {
    auto New = Customers.find(Entry.first);
    return New != Customers.end() && !New->second.Departed;
  });
  return After;
}

} // namespace

std::vector<pool::Guarantee> guaranteesOwed(const PlanMap &Plans,
                                            const CustomerMap &Customers,
                                            const HeldTermsMap &Held) {
  std::map<std::string, std::vector<pool::GuaranteeUnit>> Units;
  for (const auto &[Account, C] : Customers) {
    auto Plan = Plans.find(C.Plan);
    if (!C.Departed && Plan != Plans.end())
      Units[Account] = Plan->second.Guarantee;
  }
  for (const auto &[Account, Kept] : Held)
    Units[Account] = Kept.Terms.Guarantee;
  std::vector<pool::Guarantee> Owed;
  for (auto &[Account, List] : Units)
    if (!List.empty())
      Owed.push_back({Account, List});
  return Owed;
}

Applier::Result Applier::on(const ListPublished &B) {
  const ListChange &Change = B.Change;
  auto Kind = static_cast<std::size_t>(Change.Kind);
  ListVerdict Entry{
      Change.Kind, Offset, Change.Base,       CurrentState.Versions[Kind],
      false,       "",     CurrentState.Clock};
  Result Outcome = tryPublish(Change);
  if (Outcome) {
    Entry.Accepted = true;
    Entry.Version = ++CurrentState.Versions[Kind];
    CurrentState.VersionOffsets[Kind] = Offset;
  } else {
    Entry.Reason = Outcome.error().Message;
  }
  CurrentState.ListHistory.push_back(Entry);
  if (CurrentState.ListHistory.size() > MaxListHistory)
    CurrentState.ListHistory.pop_front();
  return Outcome;
}

Applier::Result Applier::tryPublish(const ListChange &Change) {
  std::uint64_t Version =
      CurrentState.Versions[static_cast<std::size_t>(Change.Kind)];
  if (Change.Base != Version)
    return makeError(ErrorCode::Conflict, "check lists",
                     "the change is based on version " +
                         std::to_string(Change.Base) + " but version " +
                         std::to_string(Version) + " is in force",
                     "", "base");
  PlanMap Plans = CurrentState.Plans;
  CustomerMap Customers = CurrentState.Customers;
  for (const Plan &P : Change.PutPlans)
    Plans[P.Name] = P;
  for (const Customer &C : Change.PutCustomers)
    Customers[C.Account] = C;
  for (const std::string &Name : Change.Remove) {
    if (Change.Kind == ListKind::Plans)
      Plans.erase(Name);
    else
      Customers.erase(Name);
  }
  if (Result Ok = checkReferences(Plans, Customers); !Ok)
    return Ok;
  HeldTermsMap Held =
      heldTermsAfter(CurrentState.HeldTermsByAccount, CurrentState.Plans,
                     CurrentState.Customers, Customers,
                     CurrentState.LiveJobsByAccount, CurrentState.Clock);
  std::vector<pool::Guarantee> Before =
      guaranteesOwed(CurrentState.Plans, CurrentState.Customers,
                     CurrentState.HeldTermsByAccount);
  std::vector<pool::Guarantee> Owed = guaranteesOwed(Plans, Customers, Held);
  std::map<std::string, const pool::Pool *> Pools;
  for (const auto &[Name, C] : CurrentState.Cells)
    Pools.emplace(Name, &C.Pool);
  pool::PackResult Packed =
      pool::packHomes(Pools, Owed, allHomes(CurrentState.Cells));
  auto Changed = changedAccounts(Before, Owed);
  std::vector<std::string> Degraded;
  for (const pool::UnmetUnit &U : Packed.Missing) {
    Degraded.push_back(unitName(U));
    // A unit that was degraded before, by the loss of workers, does not block
    // changes of other accounts.
    bool Before = std::count(CurrentState.Degraded.begin(),
                             CurrentState.Degraded.end(), Degraded.back()) != 0;
    if (!Before || Changed.count(U.Account))
      return makeError(ErrorCode::Conflict, "check lists",
                       "the live workers cannot hold the guarantee of " +
                           unitName(U) + " together with all others",
                       "", "guarantee");
  }
  if (std::string Account = displacedAccount(
          CurrentState.Cells, CurrentState.Jobs, Packed.Homes, Changed);
      !Account.empty())
    return makeError(ErrorCode::Conflict, "check lists",
                     "running work of account " + Account +
                         " occupies slots that the new guarantees need; "
                         "publish again when it has ended",
                     "", "guarantee");
  CurrentState.Plans = std::move(Plans);
  CurrentState.Customers = std::move(Customers);
  CurrentState.HeldTermsByAccount = std::move(Held);
  CurrentState.Degraded = std::move(Degraded);
  setHomes(CurrentState.Cells, Packed.Homes);
  return {};
}

void Applier::dropHeldTerms(std::string_view Account) {
  auto Kept = CurrentState.HeldTermsByAccount.find(Account);
  if (Kept == CurrentState.HeldTermsByAccount.end())
    return;
  CurrentState.HeldTermsByAccount.erase(Kept);
  rebindHomes(CurrentState.Cells, CurrentState.Jobs,
              guaranteesOwed(CurrentState.Plans, CurrentState.Customers,
                             CurrentState.HeldTermsByAccount),
              CurrentState.Degraded);
}

} // namespace heathersaddle::state
