#include "version/ConfigurationHistory.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/json.hpp>

#include "base/TimeText.h"
#include "version/JsonObject.h"

namespace tarragontray {

namespace json = boost::json;

namespace {

constexpr std::string_view kStep = "history.decode";
constexpr std::size_t kMaxTextBytes = 1'048'576;

HistoryEntry
DecodeEntry(const json::value& aValue,
            const std::string& aPath,
            FieldErrors& aErrors)
{
  JsonObject object(aValue, aPath, aErrors);
  HistoryEntry entry;
  entry.m_revision = Revision(object.Number("version"));
  entry.m_operation = OperationId(object.Text("operation"));
  entry.m_body = object.Text("body");
  entry.m_replaced = object.Time("replaced");
  object.Finish();
  return entry;
}

ByteCount
SizeOf(const std::vector<HistoryEntry>& aEntries)
{
  ByteCount size;
  for (const HistoryEntry& entry : aEntries) {
    size += ByteCount(entry.m_body.size());
  }
  return size;
}

} // namespace

Result<ConfigurationHistory>
ConfigurationHistory::Decode(std::string_view aText)
{
  FieldErrors errors{ std::string(kStep) };
  ConfigurationHistory history;
  const std::optional<Error> fault =
    ParseJson(aText, kMaxTextBytes, kStep, [&](const json::value& aRoot) {
      JsonObject object(aRoot, "history", errors);
      object.Each("versions",
                  [&](const json::value& aItem, const std::string& aPath) {
                    history.Add(DecodeEntry(aItem, aPath, errors));
                  });
      object.Finish();
    });
  if (fault) {
    return *fault;
  }
  if (errors.First()) {
    return *errors.First();
  }
  return history;
}

std::string
ConfigurationHistory::Encode() const
{
  json::array versions;
  for (const HistoryEntry& entry : m_entries) {
    versions.push_back(
      json::object{ { "version", entry.m_revision.Value() },
                    { "operation", entry.m_operation.Value() },
                    { "body", entry.m_body },
                    { "replaced", FormatWallTime(entry.m_replaced) } });
  }
  return json::serialize(json::object{ { "versions", std::move(versions) } });
}

bool
ConfigurationHistory::Add(HistoryEntry aEntry)
{
  const auto place =
    std::lower_bound(m_entries.begin(),
                     m_entries.end(),
                     aEntry.m_revision,
                     [](const HistoryEntry& aLeft, Revision aRevision) {
                       return aLeft.m_revision < aRevision;
                     });
  if (place != m_entries.end() && place->m_revision == aEntry.m_revision) {
    return false;
  }
  m_entries.insert(place, std::move(aEntry));
  while (m_entries.size() > kMaxHistoryEntries ||
         (m_entries.size() > 1 && SizeOf(m_entries) > kMaxHistoryBytes)) {
    m_entries.erase(m_entries.begin());
  }
  return true;
}

const HistoryEntry*
ConfigurationHistory::Find(Revision aRevision) const
{
  const auto found = std::find_if(
    m_entries.begin(), m_entries.end(), [&](const HistoryEntry& aEntry) {
      return aEntry.m_revision == aRevision;
    });
  return found == m_entries.end() ? nullptr : &*found;
}

const HistoryEntry*
ConfigurationHistory::FindByOperation(const OperationId& aOperation) const
{
  const auto found = std::find_if(
    m_entries.begin(), m_entries.end(), [&](const HistoryEntry& aEntry) {
      return aEntry.m_operation == aOperation;
    });
  return found == m_entries.end() ? nullptr : &*found;
}

} // namespace tarragontray
