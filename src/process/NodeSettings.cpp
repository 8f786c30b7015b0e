#include "process/NodeSettings.h"

namespace tarragontray {

SettingsParser
NodeSettingsParser()
{
  SettingsParser parser(
    "tarragontray-node",
    "The node in one VM's slot: serves callers, guards the VM's upstream.");
  parser.Add(TextSetting{ "vm", "The name of this VM.", {}, std::nullopt });
  parser.Add(TextSetting{
    "data-centre", "The data centre of this VM.", {}, std::nullopt });
  parser.Add(
    TextSetting{ "region", "The region of the data centre.", {}, "default" });
  parser.Add(AddressSetting{ "front-address", "Listens for callers' HTTP." });
  parser.Add(AddressSetting{ "peer-address",
                             "Listens for other nodes, by UDP and TCP." });
  parser.Add(AddressSetting{
    "admin-address",
    "Listens for operators and for the upstream's announcements." });
  parser.Add(AddressSetting{
    "platform", "The platform's object API, in order of preference.", true });
  parser.Add(AddressSetting{
    "seeds", "Peer addresses of nodes to join by.", true, false });
  parser.Add(IntegerSetting{
    "front-threads", "threads", "Traffic threads for callers.", 1, 64, 1 });
  parser.Add(IntegerSetting{ "drain-limit-ms",
                             "ms",
                             "Longest wait for running calls at a stop.",
                             0,
                             600'000,
                             30'000 });
  parser.Add(TextSetting{ "log-level",
                          "Least severity that is logged.",
                          { "debug", "info", "warning", "error" },
                          "info" });
  return parser;
}

NodeSettings
ReadNodeSettings(const Settings& aSettings)
{
  NodeSettings settings;
  settings.m_vm = VmId(aSettings.Text("vm"));
  settings.m_dataCentre = DataCentreId(aSettings.Text("data-centre"));
  settings.m_region = RegionId(aSettings.Text("region"));
  settings.m_frontAddress = aSettings.Address("front-address");
  settings.m_peerAddress = aSettings.Address("peer-address");
  settings.m_adminAddress = aSettings.Address("admin-address");
  settings.m_platform = aSettings.Addresses("platform");
  settings.m_seeds = aSettings.Addresses("seeds");
  settings.m_frontThreads =
    static_cast<std::uint32_t>(aSettings.Integer("front-threads"));
  settings.m_drainLimit = aSettings.Milliseconds("drain-limit-ms");
  settings.m_logLevel = aSettings.Text("log-level");
  return settings;
}

} // namespace tarragontray
