#include "process/NodeSettings.h"

#include <algorithm>

#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

/// Default of --caller-memory-mb when the memory of the VM is not known.
constexpr std::int64_t kCallerMegabytes = 48;
/// Part of the VM's memory that callers may fill.
constexpr std::int64_t kCallerMemoryDenominator = 4;
constexpr std::int64_t kMinCallerMegabytes = 8;

void
AddCallerSettings(SettingsParser& aParser)
{
  aParser.Add(IntegerSetting{
    "memory-mb", "MiB", "Memory of this VM; 0: not known.", 0, 1'048'576, 0 });
  aParser.Add(IntegerSetting{ "caller-memory-mb",
                              "MiB",
                              "Memory for requests that are being read, wait "
                              "or run, for answers that wait to be read, and "
                              "for connections, of callers and of the admin "
                              "address; 0: a quarter of --memory-mb, 48 if "
                              "that is not known.",
                              0,
                              1'048'576,
                              0 });
  aParser.Add(IntegerSetting{ "caller-connections",
                              "connections",
                              "Most connections of callers; 0 and as an upper "
                              "bound: half of the process's descriptors, at "
                              "most 4096.",
                              0,
                              4'096,
                              0 });
  aParser.Add(IntegerSetting{ "caller-header-fields",
                              "fields",
                              "Most header fields of a request.",
                              16,
                              1'000'000,
                              4'096 });
  aParser.Add(IntegerSetting{ "caller-pipelined-kb",
                              "KiB",
                              "A connection whose requests and answers hold "
                              "more has at most two requests at a time.",
                              16,
                              1'048'576,
                              256 });
}

ByteCount
Megabytes(std::int64_t aCount)
{
  return ByteCount(static_cast<std::uint64_t>(aCount) << 20U);
}

NodeCallerSettings
ReadCallerSettings(const Settings& aSettings)
{
  NodeCallerSettings callers;
  std::int64_t memory = aSettings.Integer("caller-memory-mb");
  if (memory == 0) {
    const std::int64_t all = aSettings.Integer("memory-mb");
    memory = all == 0 ? kCallerMegabytes : all / kCallerMemoryDenominator;
  }
  callers.m_memory = Megabytes(std::max(memory, kMinCallerMegabytes));
  callers.m_connections =
    static_cast<std::size_t>(aSettings.Integer("caller-connections"));
  callers.m_headerFields =
    static_cast<std::size_t>(aSettings.Integer("caller-header-fields"));
  callers.m_pipelined = ByteCount(
    static_cast<std::uint64_t>(aSettings.Integer("caller-pipelined-kb"))
    << 10U);
  return callers;
}

} // namespace

SettingsParser
NodeSettingsParser()
{
  SettingsParser parser(
    "tarragontray-node",
    "The service mesh node of one VM: routes callers' requests and controls "
    "admission to the VM's upstream.");
  parser.Add(TextSetting{ "vm", "The name of this VM.", {}, std::nullopt });
  parser.Add(TextSetting{
    "data-centre", "The data centre of this VM.", {}, std::nullopt });
  parser.Add(
    TextSetting{ "region", "The region of the data centre.", {}, "default" });
  parser.Add(TextSetting{ "cell",
                          "Common name of data centres that gossip and move "
                          "traffic as one; empty: each data centre alone.",
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
    "seeds", "Peer addresses of nodes through which to join.", true, false });
  parser.Add(
    IntegerSetting{ "retry-percent",
                    "%",
                    "Retry budget: retries allowed over all nodes, as a "
                    "percentage of a service's calls.",
                    0,
                    100,
                    20 });
  parser.Add(IntegerSetting{ "retry-slack",
                             "attempts",
                             "Retries allowed beyond the percentage in each "
                             "window, over all nodes; 0: each node has a "
                             "separate budget.",
                             0,
                             1'000'000,
                             0 });
  parser.Add(IntegerSetting{ "retry-window-ms",
                             "ms",
                             "Length of the retry budget's window.",
                             100,
                             600'000,
                             10'000 });
  parser.Add(
    IntegerSetting{ "watch-wait-ms",
                    "ms",
                    "Longest wait of one watch request; must be shorter than "
                    "the platform's history retention.",
                    1'000,
                    600'000,
                    25'000 });
  parser.Add(IntegerSetting{ "platform-history-ms",
                             "ms",
                             "How long the platform keeps its history; no "
                             "watch request waits longer than three quarters "
                             "of it. 0: not known.",
                             0,
                             86'400'000,
                             0 });
  parser.Add(TextSetting{ "bootstrap",
                          "Whether the whole system starts for the first "
                          "time. With --join=platform, the nodes then wait "
                          "for the first configuration from their peers "
                          "instead of listing the platform. Otherwise a node "
                          "uses no upstream before it knows, from the platform "
                          "or its peers, which processes of it have left.",
                          { "true", "false" },
                          "false" });
  parser.Add(IntegerSetting{ "watch-rest-ms",
                             "ms",
                             "Delay from a change to the next watch request; "
                             "changes in between arrive in one answer.",
                             0,
                             10'000,
                             0 });
  parser.Add(TextSetting{ "admission",
                          "Admission policy of the upstream: fair shares of "
                          "accounts, or calls that can meet their "
                          "objective first.",
                          { "fair", "objective" },
                          "fair" });
  parser.Add(SwitchSetting{ "evacuations",
                            "Watches evacuations/ at the platform: the "
                            "upstreams of a data centre named there receive no "
                            "calls." });
  parser.Add(
    NumberSetting{ "cold-excess",
                   "Limits the calls to an upstream that is or may be cold: "
                   "how often its service's stated rate it tolerates; 0: no "
                   "limit.",
                   0,
                   1'000,
                   0 });
  parser.Add(IntegerSetting{ "cold-slack",
                             "calls",
                             "Calls that a cold upstream tolerates beyond "
                             "--cold-excess, in any second.",
                             0,
                             1'000'000,
                             0 });
  parser.Add(
    IntegerSetting{ "revocation-limit-ms",
                    "ms",
                    "A call with an API key must not run later than this after "
                    "the key's removal was acknowledged; nodes that can't tell "
                    "refuse it. 0: not checked; otherwise above 250.",
                    0,
                    600'000,
                    0 });
  parser.Add(IntegerSetting{ "rate-window-ms",
                             "ms",
                             "Length of the window over which the rates of "
                             "accounts hold.",
                             1'000,
                             600'000,
                             5'000 });
  parser.Add(IntegerSetting{ "rate-slack",
                             "calls",
                             "Calls that an account may make beyond its rate "
                             "in each window, over all nodes.",
                             0,
                             1'000'000,
                             20 });
  parser.Add(TextSetting{ "join",
                          "How nodes find each other: by --seeds, or through "
                          "the platform; every node then registers there and "
                          "watches its objects.",
                          { "seeds", "platform" },
                          "seeds" });
  parser.Add(IntegerSetting{
    "front-threads", "threads", "Threads that serve callers.", 1, 64, 1 });
  parser.Add(IntegerSetting{ "drain-limit-ms",
                             "ms",
                             "Longest wait for running calls during shutdown.",
                             0,
                             600'000,
                             30'000 });
  parser.Add(IntegerSetting{ "leave-notice-ms",
                             "ms",
                             "Time that the node keeps serving callers and "
                             "peers after a stop is requested.",
                             0,
                             60'000,
                             1'500 });
  parser.Add(
    IntegerSetting{ "stop-limit-ms",
                    "ms",
                    "Time from SIGTERM until the process is killed; if "
                    "not 0, it replaces --drain-limit-ms and "
                    "--leave-notice-ms.",
                    0,
                    600'000,
                    0 });
  parser.Add(IntegerSetting{
    "upstream-lapse-ms",
    "ms",
    "An upstream that has not announced itself for this long counts as "
    "absent.",
    100,
    600'000,
    3'000 });
  AddCallerSettings(parser);
  parser.Add(TextSetting{ "log-level",
                          "Lowest severity that is logged.",
                          { "debug", "info", "warning", "error" },
                          "info" });
  return parser;
}

namespace {

/// Settings for nodes that find each other through the platform. A few nodes of
/// each data centre watch it and send changes along a tree over their data
/// centre; a data centre without a path to the platform learns of changes from
/// the confirmations and digests of the others.
void
UsePlatformDiscovery(NodeSettings& aSettings, bool aIsFirstStart)
{
  constexpr std::size_t kAllNodes = 4'096;
  // When the only watcher of a data centre ends, the others bring changes there
  // until the next one takes over.
  constexpr std::size_t kWatchersPerDataCentre = 1;
  constexpr std::size_t kWatchersPerCell = 2;
  // By then a node knows its peers and ranks them as they do.
  constexpr Duration kRankedAfterFirstStart = std::chrono::milliseconds(2'500);
  constexpr Duration kRankedAfterStart = std::chrono::seconds(1);
  aSettings.m_isRegistered = true;
  aSettings.m_departureHistory =
    aIsFirstStart ? DepartureHistory::None : DepartureHistory::PlatformOrPeers;
  aSettings.m_hasBriefMoves = true;
  aSettings.m_moves.m_windowInterval = std::chrono::milliseconds(100);
  aSettings.m_moves.m_reportInterval = std::chrono::milliseconds(100);
  aSettings.m_moves.m_refreshInterval = std::chrono::seconds(1);
  aSettings.m_moves.m_outcomeInterval = std::chrono::milliseconds(500);
  aSettings.m_prefixes = {
    { std::string(kConfigurationPrefix),
      kWatchersPerDataCentre,
      kWatchersPerCell },
    { std::string(kOrderPrefix), kWatchersPerDataCentre, kWatchersPerCell }
  };
  MembershipSettings& membership = aSettings.m_gossip.m_membership;
  membership.m_relays = kAllNodes;
  membership.m_relaySettleTime =
    aIsFirstStart ? kRankedAfterFirstStart : kRankedAfterStart;
  membership.m_reportDelay = membership.m_urgentDelay;
  membership.m_reconnectInterval = std::chrono::seconds(1);
  // Longer than a tree takes, so that only the nodes that it missed pull.
  aSettings.m_gossip.m_pulls.m_behindWait = std::chrono::milliseconds(300);
  // Pulls are rare, but each may transfer a large configuration.
  aSettings.m_gossip.m_answerBytesPerSecond = 1'000'000;
  aSettings.m_gossip.m_answerBurstBytes = 4'000'000;
  DistributionSettings& distribution = aSettings.m_gossip.m_distribution;
  distribution.m_defersUntilSpread = false;
  distribution.m_listsAtStart = !aIsFirstStart;
  distribution.m_rankDelay = std::chrono::milliseconds(100);
  distribution.m_checks.m_interval = std::chrono::milliseconds(500);
  distribution.m_checks.m_rankDelay = std::chrono::milliseconds(300);
  distribution.m_platformReads = 10;
  distribution.m_platformBurst = 20;
}

/// Adds the evacuations to what is watched, by as many nodes as watch the
/// configurations.
void
WatchEvacuations(NodeSettings& aSettings)
{
  if (aSettings.m_prefixes.empty()) {
    aSettings.m_prefixes.push_back({ std::string(kConfigurationPrefix) });
  }
  WatchedPrefix evacuations = aSettings.m_prefixes.front();
  evacuations.m_keys = kEvacuationPrefix;
  evacuations.m_isDeletedByAbsence = true;
  aSettings.m_prefixes.push_back(std::move(evacuations));
}

/// Splits the stop limit: one half for callers to switch to other nodes, five
/// twelfths to drain, and one twelfth for the process to exit.
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
    // One half of the slack is available as a burst, the other half accrues
    // over the window. Half of the ratio is reserved for the calls that retried
    // calls make in turn.
    settings.m_retries.m_isShared = true;
    settings.m_retries.m_ratio =
      static_cast<double>(aSettings.Integer("retry-percent")) / 200;
    settings.m_retries.m_burst = slack / 2;
    settings.m_retries.m_tokensPerSecond = slack / 2 / window;
  }
  if (aSettings.Text("join") == "platform") {
    UsePlatformDiscovery(settings, aSettings.Text("bootstrap") == "true");
  }
  if (const double excess = aSettings.Number("cold-excess"); excess > 0) {
    settings.m_cold =
      ColdAllowance{ excess,
                     static_cast<double>(aSettings.Integer("cold-slack")) };
  }
  if (aSettings.IsOn("evacuations")) {
    WatchEvacuations(settings);
  }
  settings.m_watchWait = aSettings.Milliseconds("watch-wait-ms");
  const Duration history = aSettings.Milliseconds("platform-history-ms");
  if (history > Duration::zero()) {
    settings.m_watchWait = std::min(settings.m_watchWait, history * 3 / 4);
  }
  settings.m_freshness.m_limit = aSettings.Milliseconds("revocation-limit-ms");
  settings.m_rates.m_window = aSettings.Milliseconds("rate-window-ms");
  settings.m_rates.m_slack =
    CallCount(static_cast<std::uint64_t>(aSettings.Integer("rate-slack")));
  settings.m_watchRest = aSettings.Milliseconds("watch-rest-ms");
  settings.m_admitsByObjective = aSettings.Text("admission") == "objective";
  settings.m_callers = ReadCallerSettings(aSettings);
  settings.m_logLevel = aSettings.Text("log-level");
  return settings;
}

} // namespace tarragontray
