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
  if (m_mustReadEntry || IsEntryCurrent()) {
    ReadNodes();
  } else {
    WriteEntry();
  }
}

bool
PlatformLoop::IsEntryCurrent() const
{
  return m_entry &&
         m_entry->m_content.m_peerAddress ==
           m_settings.m_registered->m_peerAddress &&
         m_entry->m_content.m_departed == m_core.Departed();
}

void
PlatformLoop::WriteEntry()
{
  m_isNodeCallRunning = true;
  const DepartedUpstreams departed = m_core.Departed();
  PlatformWrite write;
  write.m_key = NodeKey(m_settings.m_registered->m_vm);
  write.m_expected = m_entry ? m_entry->m_revision : Revision(0);
  write.m_body = NodeJson(*m_settings.m_registered, departed);
  write.m_operation = OperationId(
    "node-" + std::to_string(m_settings.m_registered->m_incarnation.Value()) +
    "-" + std::to_string(++m_operations));
  Current().Write(std::move(write),
                  [this, departed](const Result<Revision>& aRevision) {
                    m_isNodeCallRunning = false;
                    OnEntryWritten(departed, aRevision);
                  });
}

void
PlatformLoop::OnEntryWritten(const DepartedUpstreams& aDeparted,
                             const Result<Revision>& aRevision)
{
  if (!aRevision && aRevision.error().Code() == ErrorCode::Conflict) {
    // Another process of this VM wrote the entry, or an earlier write of this
    // one whose answer was lost.
    m_mustReadEntry = true;
    m_readNodesAt = MonotonicTime{};
    Check();
    return;
  }
  if (!aRevision) {
    OnFailure(aRevision.error());
    return;
  }
  OnSuccess();
  m_entry = OwnEntry{ aRevision.value(),
                      { m_settings.m_registered->m_peerAddress, aDeparted } };
  Log(LogLevel::Info, kPart, "Registered.");
  m_handle(m_core.OnOwnEntry(aDeparted, aRevision.value(), Now()));
  Check();
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
      AdoptEntry(aListing.value());
      const MonotonicTime now = m_clock.Now();
      m_readNodesAt =
        now + (m_core.IsAlone() ? kNodeReadIntervalAlone : kNodeReadInterval);
      m_core.OnNodes(NodesOf(aListing.value()), now);
      m_handle(m_core.OnTick(Now()));
    });
}

void
PlatformLoop::AdoptEntry(const PlatformListing& aNodes)
{
  if (!std::exchange(m_mustReadEntry, false)) {
    return;
  }
  m_entry.reset();
  const ObjectKey own = NodeKey(m_settings.m_registered->m_vm);
  for (const PlatformObject& object : aNodes.m_objects) {
    if (object.m_document.m_key == own) {
      m_entry.emplace().m_revision = object.m_document.m_revision;
      // An entry that does not parse is written again.
      if (auto content = ParseNode(object.m_document.m_body)) {
        m_entry->m_content = std::move(content.value());
      }
    }
  }
  m_handle(m_core.OnOwnEntry(m_entry ? m_entry->m_content.m_departed
                                     : DepartedUpstreams(),
                             aNodes.m_revision,
                             Now()));
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
    m_mustReadEntry = true;
    m_readNodesAt =
      m_clock.Now() +
      Duration(m_random.Below(
        static_cast<std::uint64_t>(kEntryReadSpread.count()) + 1));
    CheckAt(m_readNodesAt);
  }
}

} // namespace tarragontray
