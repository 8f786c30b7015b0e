#include <map>
#include <regex>
#include <set>
#include <string>

#include <boost/json.hpp>
#include <criterion/criterion.h>

#include "process/StatusJson.h"
#include "process/StatusPage.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

MemberRecord
SomeMember()
{
  MemberRecord member;
  member.m_vm = VmId("vm-1");
  member.m_dataCentre = DataCentreId("dc-1");
  member.m_upstream.m_service = { ClientAccountId("a"), ServiceName("s") };
  return member;
}

MoveStatus
SomeMove()
{
  MoveStatus move;
  move.m_shares[DataCentreId("dc-1")] = Share::FromFraction(0.5);
  move.m_time = WallTime(std::chrono::hours(24));
  return move;
}

/// Returns a status in which every list has one element and every optional
/// field is set.
json::object
FullStatus()
{
  ControlStatus status;
  status.m_self = SomeMember();
  status.m_members = { SomeMember() };
  status.m_moves = { SomeMove() };
  AccountStatus account;
  account.m_account = ClientAccountId("a");
  account.m_inForce = Revision(1);
  account.m_pending = PendingVersion{};
  status.m_accounts = { account };
  const std::string text = StatusJson(status, {}, {}, false);
  return json::parse(text).as_object();
}

/// Returns, for each variable of the page's script, the JSON object that it is
/// bound to.
std::map<std::string, json::object>
PageVariables(const json::object& aStatus)
{
  return { { "status", aStatus },
           { "account", aStatus.at("configurations").at(0).as_object() },
           { "move", aStatus.at("moves").at(0).as_object() },
           { "member", aStatus.at("members").at(0).as_object() } };
}

/// Returns the first field of a path such as ".guard.ran" that aObject lacks,
/// empty when it has all of them. Names behind an array or a scalar are members
/// of JavaScript types and not checked.
std::string
MissingField(const json::object& aObject, const std::string& aPath)
{
  static const std::regex kField(R"(\.([a-z_]+))");
  const json::object* object = &aObject;
  for (std::sregex_iterator field(aPath.begin(), aPath.end(), kField), end;
       field != end && object != nullptr;
       ++field) {
    std::string name = (*field)[1];
    const json::value* value = object->if_contains(name);
    if (value == nullptr) {
      return name;
    }
    object = value->if_object();
  }
  return "";
}

} // namespace

Test(StatusPage, UsesOnlyFieldsOfTheStatus)
{
  static const std::regex kUse(
    R"(\b(status|account|move|member)((?:\??\.[a-z_]+)+))");
  const std::string page(StatusPage());
  const auto variables = PageVariables(FullStatus());
  std::set<std::string> used;
  for (std::sregex_iterator use(page.begin(), page.end(), kUse), end;
       use != end;
       ++use) {
    const std::string variable = (*use)[1];
    const std::string missing = MissingField(variables.at(variable), (*use)[2]);
    cr_assert(missing.empty(),
              "'%s' is not a field of '%s'",
              missing.c_str(),
              variable.c_str());
    used.insert(variable);
  }
  cr_assert_eq(used.size(), variables.size());
}

} // namespace tarragontray
