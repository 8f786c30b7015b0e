#include "process/NodeSettings.h"

#include "version/ObjectKeys.h"

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
  parser.Add(TextSetting{ "cell",
                          "One name for data centres that gossip and move "
                          "traffic as one; empty for each alone.",
                          {},
                          "" });
  parser.Add(TextSetting{
    "service", "The service of this VM's upstream, if known.", {}, "" });
  parser.Add(AddressSetting{ "front-address", "Listens for callers' HTTP." });
  parser.Add(AddressSetting{ "peer-address",
                             "Listens for other nodes, by UDP and TCP." });
  parser.Add(AddressSetting{
    "admin-address",
    "Listens for operators and for the upstream's announcements.",
    true });
  parser.Add(AddressSetting{
    "platform", "The platform's object API, in order of preference.", true });
  parser.Add(AddressSetting{
    "seeds", "Peer addresses of nodes to join by.", true, false });
  parser.Add(IntegerSetting{ "retry-percent",
                             "%",
                             "Repeated attempts of all nodes together over a "
                             "service's calls.",
                             0,
                             100,
                             20 });
  parser.Add(IntegerSetting{ "retry-slack",
                             "attempts",
                             "Repeated attempts beyond that, in a window; 0: "
                             "each node has a budget of its own.",
                             0,
                             1'000'000,
                             0 });
  parser.Add(IntegerSetting{
    "retry-window-ms", "ms", "The window.", 100, 600'000, 10'000 });
  parser.Add(IntegerSetting{ "watch-wait-ms",
                             "ms",
                             "How long one watch of the platform waits; less "
                             "than it keeps its history.",
                             1'000,
                             600'000,
                             25'000 });
  parser.Add(IntegerSetting{ "watch-rest-ms",
                             "ms",
                             "From a change to the next watch; changes in "
                             "between come with one answer.",
                             0,
                             10'000,
                             0 });
  parser.Add(TextSetting{ "admission",
                          "Who gets the upstream's slots: accounts by fair "
                          "shares, or calls that can meet their objective.",
                          { "fair", "objective" },
                          "fair" });
  parser.Add(TextSetting{ "join",
                          "How nodes find each other: by --seeds, or through "
                          "the platform, where every node then registers and "
                          "watches.",
                          { "seeds", "platform" },
                          "seeds" });
  parser.Add(IntegerSetting{
    "front-threads", "threads", "Traffic threads for callers.", 1, 64, 1 });
  parser.Add(IntegerSetting{ "drain-limit-ms",
                             "ms",
                             "Longest wait for running calls at a stop.",
                             0,
                             600'000,
                             30'000 });
  parser.Add(IntegerSetting{ "leave-notice-ms",
                             "ms",
                             "Answers callers and peers for so long after the "
                             "start of a stop.",
                             0,
                             60'000,
                             1'500 });
  parser.Add(IntegerSetting{ "stop-limit-ms",
                             "ms",
                             "Time from SIGTERM until the process is killed; "
                             "sets the two before. 0: they stand as given.",
                             0,
                             600'000,
                             0 });
  parser.Add(
    IntegerSetting{ "upstream-lapse-ms",
                    "ms",
                    "An upstream that is silent for so long counts as absent.",
                    100,
                    600'000,
                    3'000 });
  parser.Add(TextSetting{ "log-level",
                          "Least severity that is logged.",
                          { "debug", "info", "warning", "error" },
                          "info" });
  return parser;
}

namespace {

/// All nodes watch the configuration at the platform: a change needs no tree,
/// and what a node can't read there it hears of by digests on probes. Orders
/// are small and come from the few that watch them.
void
UsePlatformDiscovery(NodeSettings& aSettings)
{
  constexpr std::size_t kAllNodes = 4'096;
  // With 2 in 5 turned away by the platform, all of them are 1 time in 250.
  constexpr std::size_t kMaxOrderWatchers = 6;
  aSettings.m_isRegistered = true;
  aSettings.m_hasBriefMoves = true;
  aSettings.m_moves.m_windowInterval = std::chrono::milliseconds(200);
  aSettings.m_moves.m_reportInterval = std::chrono::milliseconds(200);
  aSettings.m_moves.m_refreshInterval = std::chrono::seconds(1);
  aSettings.m_moves.m_outcomeInterval = std::chrono::milliseconds(500);
  aSettings.m_prefixes = { { std::string(kConfigurationPrefix) },
                           { std::string(kOrderPrefix), kMaxOrderWatchers } };
  MembershipSettings& membership = aSettings.m_gossip.m_membership;
  membership.m_relays = kAllNodes;
  membership.m_relaySettleTime = Duration(0);
  membership.m_reportDelay = membership.m_urgentDelay;
  membership.m_reconnectInterval = std::chrono::seconds(1);
  aSettings.m_gossip.m_pulls.m_pathWait = std::chrono::milliseconds(700);
  aSettings.m_gossip.m_pulls.m_behindWait = std::chrono::milliseconds(700);
  // Pulls are rare here, and a configuration is large.
  aSettings.m_gossip.m_answerBytesPerSecond = 1'000'000;
  aSettings.m_gossip.m_answerBurstBytes = 4'000'000;
  DistributionSettings& distribution = aSettings.m_gossip.m_distribution;
  distribution.m_defersUntilSpread = false;
  distribution.m_rankDelay = std::chrono::milliseconds(100);
  distribution.m_platformReads = 10;
  distribution.m_platformBurst = 20;
}

} // namespace

namespace {

/// Half of the time is for callers to notice; a twelfth is left for the end of
/// the process itself.
void
SplitStopLimit(Duration aLimit, NodeSettings& aSettings)
{
  if (aLimit > Duration::zero()) {
    aSettings.m_leaveNotice = aLimit / 2;
    aSettings.m_drainLimit = aLimit * 5 / 12;
  }
}

} // namespace

NodeSettings
ReadNodeSettings(const Settings& aSettings)
{
  NodeSettings settings;
  settings.m_vm = VmId(aSettings.Text("vm"));
  settings.m_dataCentre = DataCentreId(aSettings.Text("data-centre"));
  settings.m_region = RegionId(aSettings.Text("region"));
  settings.m_frontAddress = aSettings.Address("front-address");
  settings.m_peerAddress = aSettings.Address("peer-address");
  settings.m_adminAddresses = aSettings.Addresses("admin-address");
  settings.m_cell = DataCentreId(aSettings.Text("cell"));
  settings.m_service = ServiceName(aSettings.Text("service"));
  settings.m_leaveNotice = aSettings.Milliseconds("leave-notice-ms");
  settings.m_announcementLapse = aSettings.Milliseconds("upstream-lapse-ms");
  settings.m_platform = aSettings.Addresses("platform");
  settings.m_seeds = aSettings.Addresses("seeds");
  settings.m_frontThreads =
    static_cast<std::uint32_t>(aSettings.Integer("front-threads"));
  settings.m_drainLimit = aSettings.Milliseconds("drain-limit-ms");
  SplitStopLimit(aSettings.Milliseconds("stop-limit-ms"), settings);
  const double window =
    std::chrono::duration<double>(aSettings.Milliseconds("retry-window-ms"))
      .count();
  const auto slack = static_cast<double>(aSettings.Integer("retry-slack"));
  if (slack > 0) {
    // Half of the slack at once and half over the window; half of the ratio
    // is kept for calls that runs of repeated calls make in turn.
    settings.m_retries.m_isShared = true;
    settings.m_retries.m_ratio =
      static_cast<double>(aSettings.Integer("retry-percent")) / 200;
    settings.m_retries.m_burst = slack / 2;
    settings.m_retries.m_tokensPerSecond = slack / 2 / window;
  }
  if (aSettings.Text("join") == "platform") {
    UsePlatformDiscovery(settings);
  }
  settings.m_watchWait = aSettings.Milliseconds("watch-wait-ms");
  settings.m_watchRest = aSettings.Milliseconds("watch-rest-ms");
  settings.m_admitsByObjective = aSettings.Text("admission") == "objective";
  settings.m_logLevel = aSettings.Text("log-level");
  return settings;
}

} // namespace tarragontray
