// Tests that settings which ask for a new behaviour change nothing else.
#include "process/NodeSettings.h"

#include <criterion/criterion.h>

namespace tarragontray {

namespace {

NodeSettings
SettingsWith(const std::vector<const char*>& aFlags)
{
  std::vector<const char*> flags{ "node",
                                  "--vm=vm",
                                  "--data-centre=dc",
                                  "--front-address=127.0.0.1:1",
                                  "--peer-address=127.0.0.1:2",
                                  "--admin-address=127.0.0.1:3",
                                  "--platform=127.0.0.1:4" };
  flags.insert(flags.end(), aFlags.begin(), aFlags.end());
  const ParsedCommand parsed =
    NodeSettingsParser().Parse(static_cast<int>(flags.size()), flags.data());
  cr_assert(!parsed.m_exitStatus);
  return ReadNodeSettings(parsed.m_settings);
}

std::vector<std::string>
WatchedBy(const std::vector<const char*>& aFlags)
{
  std::vector<std::string> keys;
  for (const WatchedPrefix& watched : SettingsWith(aFlags).m_prefixes) {
    keys.push_back(watched.m_keys);
  }
  return keys;
}

} // namespace

/// Each watched prefix costs calls to the platform all day.
Test(NodeSettings, EvacuationsAreWatchedWithoutTheSetting)
{
  using Keys = std::vector<std::string>;
  cr_assert(WatchedBy({}).empty());
  cr_assert(WatchedBy({ "--evacuations" }) ==
            (Keys{ "configurations/", "evacuations/" }));
  cr_assert(WatchedBy({ "--join=platform" }) ==
            (Keys{ "configurations/", "orders/" }));
  const NodeSettings settings =
    SettingsWith({ "--join=platform", "--evacuations=true" });
  cr_assert_eq(settings.m_prefixes.size(), 3);
  const WatchedPrefix& added = settings.m_prefixes.back();
  cr_assert(added.m_keys == "evacuations/" && added.m_isDeletedByAbsence);
  cr_assert_eq(added.m_watchers, settings.m_prefixes.front().m_watchers);
  cr_assert(!settings.m_prefixes.front().m_isDeletedByAbsence);
}

/// Starts of calls are limited where no setting asks for it.
Test(NodeSettings, ColdUpstreamsAreLimitedWithoutTheSetting)
{
  cr_assert(!SettingsWith({ "--cold-slack=8" }).m_cold);
  const auto cold =
    SettingsWith({ "--cold-excess=1.5", "--cold-slack=8" }).m_cold;
  cr_assert(cold.has_value());
  cr_assert(cold->m_excess == 1.5 && cold->m_slack == 8);
}

} // namespace tarragontray
