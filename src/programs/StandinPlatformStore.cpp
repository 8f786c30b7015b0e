#include "programs/StandinPlatformStore.h"

#include <algorithm>

namespace tarragontray {

namespace {

constexpr std::size_t kMaxVersionsKept = 32;

} // namespace

StandinPlatformStore::WriteResult
StandinPlatformStore::Write(const PlatformWrite& aWrite, MonotonicTime aNow)
{
  const auto found = m_objects.find(aWrite.m_key.Value());
  const bool exists = found != m_objects.end();
  if (aWrite.m_expected) {
    const Revision current =
      exists ? found->second.back().m_object.m_document.m_revision : Revision();
    if (current != *aWrite.m_expected) {
      WriteResult conflict;
      conflict.m_revision = current;
      if (exists) {
        conflict.m_current = found->second.back().m_object;
      }
      return conflict;
    }
  }
  m_revision += Revision(1);
  Versions& versions = m_objects[aWrite.m_key.Value()];
  versions.push_back(
    { aNow,
      { { aWrite.m_key, m_revision, aWrite.m_body, aWrite.m_version },
        aWrite.m_operation } });
  if (versions.size() > kMaxVersionsKept) {
    versions.pop_front();
  }
  return { true, m_revision, std::nullopt };
}

const StandinPlatformStore::Stored*
StandinPlatformStore::Find(const Versions& aVersions, MonotonicTime aAsOf)
{
  const auto found = std::find_if(
    aVersions.rbegin(), aVersions.rend(), [aAsOf](const Stored& aStored) {
      return aStored.m_time <= aAsOf;
    });
  return found == aVersions.rend() ? nullptr : &*found;
}

std::optional<PlatformObject>
StandinPlatformStore::Read(const ObjectKey& aKey, MonotonicTime aAsOf) const
{
  const auto found = m_objects.find(aKey.Value());
  if (found == m_objects.end()) {
    return std::nullopt;
  }
  const Stored* stored = Find(found->second, aAsOf);
  return stored == nullptr ? std::nullopt : std::optional(stored->m_object);
}

void
StandinPlatformStore::Restore(MonotonicTime aAsOf)
{
  m_revision = Revision(0);
  for (auto& [key, versions] : m_objects) {
    std::erase_if(versions, [aAsOf](const Stored& aStored) {
      return aStored.m_time > aAsOf;
    });
    for (const Stored& stored : versions) {
      m_revision = std::max(m_revision, stored.m_object.m_document.m_revision);
    }
  }
  std::erase_if(m_objects,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

PlatformListing
StandinPlatformStore::List(const std::string& aPrefix,
                           MonotonicTime aAsOf) const
{
  PlatformListing listing;
  for (const auto& [key, versions] : m_objects) {
    const Stored* stored = Find(versions, aAsOf);
    if (stored == nullptr) {
      continue;
    }
    // The listing reflects every write up to its revision, so keys outside the
    // prefix count too.
    listing.m_revision =
      std::max(listing.m_revision, stored->m_object.m_document.m_revision);
    if (key.starts_with(aPrefix)) {
      listing.m_objects.push_back(stored->m_object);
    }
  }
  return listing;
}

PlatformListing
StandinPlatformStore::Changes(const std::string& aPrefix, Revision aAfter) const
{
  PlatformListing listing;
  listing.m_revision = m_revision;
  for (const auto& [key, versions] : m_objects) {
    const PlatformObject& latest = versions.back().m_object;
    if (key.starts_with(aPrefix) && latest.m_document.m_revision > aAfter) {
      listing.m_objects.push_back(latest);
    }
  }
  return listing;
}

} // namespace tarragontray
