/// The part of PlatformLoop that keeps this node's entry on the platform and
/// reads the entries of the other nodes.
#include <algorithm>
#include <string>
#include <utility>

#include "process/Log.h"
#include "process/PlatformLoop.h"
#include "process/StatusJson.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

constexpr char kPart[] = "platform";
/// Time between reads of the other nodes' entries, with and without live
/// peers.
constexpr Duration kNodeReadInterval = std::chrono::seconds(60);
constexpr Duration kNodeReadIntervalAlone = std::chrono::seconds(2);
/// Spreads the nodes' reads of their entries after a restore of the platform.
constexpr Duration kEntryReadSpread = std::chrono::milliseconds(500);

/// The addresses of all registered nodes; entries that do not parse are logged
/// and skipped.
std::vector<NetworkAddress>
NodesOf(const PlatformListing& aListing)
{
  std::vector<NetworkAddress> addresses;
  for (const PlatformObject& object : aListing.m_objects) {
    const auto entry = ParseNode(object.m_document.m_body);
    if (entry) {
      addresses.push_back(entry.value().m_peerAddress);
    } else {
      Log(LogLevel::Info, kPart, "Node entry skipped.", entry.error());
    }
  }
  return addresses;
}

} // namespace

void
PlatformLoop::Register()
{
  if (!m_settings.m_registered || m_isNodeCallRunning) {
    return;
  }
  if (m_isRegistered) {
    ReadNodes();
    return;
  }
  m_isNodeCallRunning = true;
  PlatformWrite write;
  write.m_key = NodeKey(m_settings.m_registered->m_vm);
  if (!m_hasEntry) {
    write.m_expected = Revision(0);
  }
  write.m_body = NodeJson(*m_settings.m_registered, m_left);
  write.m_operation = OperationId(
    "node-" + std::to_string(m_settings.m_registered->m_incarnation.Value()) +
    "-" + std::to_string(++m_operations));
  const std::optional<UpstreamProcess> written = m_left;
  Current().Write(
    std::move(write), [this, written](const Result<Revision>& aRevision) {
      m_isNodeCallRunning = false;
      if (!aRevision && aRevision.error().Code() == ErrorCode::Conflict) {
        // A previous process of this VM wrote the entry; ReadNodes() reads it
        // together with the other nodes' entries.
        m_hasEntry = true;
        m_isRegistered = true;
        m_mustReadPreviousEntry = true;
        Check();
        return;
      }
      if (!aRevision) {
        OnFailure(aRevision.error());
        return;
      }
      OnSuccess();
      m_hasEntry = true;
      m_isRegistered = m_left == written;
      Log(LogLevel::Info, kPart, "Registered.");
      Check();
    });
}

void
PlatformLoop::ReadNodes()
{
  const MonotonicTime now = m_clock.Now();
  if (now < m_readNodesAt) {
    return;
  }
  m_isNodeCallRunning = true;
  Current().List(
    std::string(kNodePrefix), [this](const Result<PlatformListing>& aListing) {
      m_isNodeCallRunning = false;
      if (!aListing) {
        OnFailure(aListing.error());
        return;
      }
      OnSuccess();
      AdoptPreviousEntry(aListing.value());
      const MonotonicTime now = m_clock.Now();
      m_readNodesAt =
        now + (m_core.IsAlone() ? kNodeReadIntervalAlone : kNodeReadInterval);
      m_core.OnNodes(NodesOf(aListing.value()), now);
      m_handle(m_core.OnTick(Now()));
    });
}

void
PlatformLoop::AdoptPreviousEntry(const PlatformListing& aNodes)
{
  if (!std::exchange(m_mustReadPreviousEntry, false)) {
    return;
  }
  // This node rewrites the entry unless it is valid and has the right address.
  m_isRegistered = false;
  const ObjectKey own = NodeKey(m_settings.m_registered->m_vm);
  for (const PlatformObject& object : aNodes.m_objects) {
    const auto entry = object.m_document.m_key == own
                         ? std::optional(ParseNode(object.m_document.m_body))
                         : std::nullopt;
    if (!entry || !*entry) {
      continue;
    }
    const NodeEntry& previous = entry->value();
    const bool hasNewLeave = m_left && m_left != previous.m_left;
    m_isRegistered =
      previous.m_peerAddress == m_settings.m_registered->m_peerAddress &&
      !hasNewLeave;
    if (previous.m_left) {
      m_left = m_left.value_or(*previous.m_left);
      m_settings.m_onPreviousLeave(*previous.m_left);
    }
  }
}

void
PlatformLoop::RecordUpstreamLeave(const UpstreamProcess& aLeft)
{
  if (!m_settings.m_registered || m_left == aLeft) {
    return;
  }
  m_left = aLeft;
  // While the entry is being written or still to be read, the end of that call
  // triggers another write.
  if (m_isRegistered && !m_mustReadPreviousEntry) {
    m_isRegistered = false;
    Check();
  }
}

void
PlatformLoop::NoteEra(Revision aRevision)
{
  const PlatformEra era = EraOf(aRevision);
  const std::optional<PlatformEra> former = m_era;
  m_era = std::max(former.value_or(era), era);
  if (era <= former.value_or(era)) {
    return;
  }
  Log(LogLevel::Warning,
      kPart,
      "Platform restored.",
      { { "era", std::to_string(era.Value()) },
        { "was", std::to_string(former->Value()) } });
  m_core.OnPlatformRestored();
  if (m_settings.m_registered) {
    m_mustReadPreviousEntry = true;
    m_readNodesAt =
      m_clock.Now() +
      Duration(m_random.Below(
        static_cast<std::uint64_t>(kEntryReadSpread.count()) + 1));
    CheckAt(m_readNodesAt);
  }
}

} // namespace tarragontray
