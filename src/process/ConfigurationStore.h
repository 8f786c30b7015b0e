/// \file
/// Which configuration of each account is in force on this node.
///
/// Documents come from peers and from the platform, in any order, late, twice
/// or not at all. The store keeps them and applies, for each account, the
/// highest version that is whole:
///
/// - its parameters and its template decode and expand;
/// - every service that its routes name is known on this node: some member
///   announced it, or the version in force routes to it already;
/// - it is above the version in force, and not below the floor that a former
///   process on this VM reached.
///
/// Any other version waits or is rejected and leaves the one in force whole.
/// A version in force stays when a service disappears later.
///
///     ConfigurationStore store(decoder);
///     store.SetKnownServices(services);
///     for (const ConfigurationChange& change : store.Offer({ document })) {
///       Publish(change.m_account, change.m_configuration);
///     }
///
/// Templates are immutable objects. If one is rewritten all the same, versions
/// in force stay as they are and later versions use the newest revision.
///
/// Thread safety: one thread, the control thread; the configurations are
/// immutable and may be read by any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "process/DocumentRevisions.h"
#include "version/Configuration.h"
#include "version/ConfigurationDecoder.h"
#include "version/Document.h"

namespace tarragontray {

/// Why a version is not in force.
enum class PendingReason : std::uint8_t
{
  /// Its template has not come yet.
  TemplateMissing,
  /// A route names a service that no member has announced.
  ServicesUnknown,
  /// It does not decode or expand.
  Rejected,
  /// A former process on this VM had applied a higher one.
  BelowFloor,
};

/// "template-missing", "services-unknown", "rejected" or "below-floor".
std::string_view
Name(PendingReason aReason);

/// A version that is above the one in force but not applied.
struct PendingVersion
{
  Revision m_version;
  PendingReason m_reason = PendingReason::Rejected;
  /// For people: the field, the template or the services.
  std::string m_detail;
};

/// What the store holds of one account.
struct AccountStatus
{
  ClientAccountId m_account;
  std::optional<Revision> m_inForce;
  Revision m_floor;
  /// The newest version offered, when it is not in force.
  std::optional<PendingVersion> m_pending;
};

/// A configuration that came into force, or null for one that was withdrawn
/// because a floor above it became known.
struct ConfigurationChange
{
  ClientAccountId m_account;
  std::shared_ptr<const Configuration> m_configuration;
};

/// Keeps documents and decides what is in force.
class ConfigurationStore
{
public:
  /// Precondition: aDecoder outlives the store.
  explicit ConfigurationStore(const ConfigurationDecoder& aDecoder);

  /// Takes documents in; other keys than templates' and configurations' are
  /// ignored. Gives what changed. Thread safety: one thread.
  std::vector<ConfigurationChange> Offer(
    const std::vector<Document>& aDocuments);

  /// Replaces the set of services that some member has announced. Gives what
  /// changed. Thread safety: one thread.
  std::vector<ConfigurationChange> SetKnownServices(
    std::set<ServiceId> aServices);

  /// Nothing below aFloor is served for the account from now on. Gives what
  /// changed. Thread safety: one thread.
  std::vector<ConfigurationChange> RaiseFloor(const ClientAccountId& aAccount,
                                              Revision aFloor);

  /// The configuration in force, or null. Thread safety: one thread.
  std::shared_ptr<const Configuration> InForce(
    const ClientAccountId& aAccount) const;

  /// One entry for each account, by name. Thread safety: one thread.
  std::vector<AccountStatus> Status() const;

  /// The templates that versions wait for; they can be asked from peers or the
  /// platform. Thread safety: one thread.
  std::vector<ObjectKey> MissingTemplates() const;

  /// The newest revision of an object, or null; valid until the next change.
  /// Thread safety: one thread.
  const Document* Find(const ObjectKey& aKey) const;

  /// All that another node needs to reach the same state. Thread safety: one
  /// thread.
  std::vector<Document> Documents() const;

  /// Documents that a bound kept out. Thread safety: one thread.
  std::uint64_t TurnedAway() const { return m_turnedAway; }

private:
  struct Account
  {
    std::shared_ptr<const Configuration> m_inForce;
    Revision m_floor;
    std::optional<PendingVersion> m_pending;
    /// The templates of the version in force and of those above it.
    std::set<ObjectKey> m_templates;
  };

  /// What came of one version: a configuration, or why there is none.
  struct Evaluation
  {
    std::shared_ptr<const Configuration> m_configuration;
    PendingReason m_reason = PendingReason::Rejected;
    std::string m_detail;
  };

  bool Store(const Document& aDocument);
  bool StoreTemplate(const Document& aDocument);
  bool IsTemplateInUse(const ObjectKey& aKey) const;
  std::vector<ConfigurationChange> EvaluateAll();
  bool EvaluateAccount(const ClientAccountId& aId, Account& aAccount);
  Evaluation Evaluate(const Document& aDocument, Account& aAccount) const;
  Evaluation Expand(const Document& aDocument, Account& aAccount) const;
  std::string UnknownServices(const Configuration& aConfiguration,
                              const Account& aAccount) const;

  const ConfigurationDecoder& m_decoder;
  DocumentRevisions m_templates;
  DocumentRevisions m_configurations;
  std::map<ClientAccountId, Account> m_accounts;
  std::set<ServiceId> m_knownServices;
  std::uint64_t m_turnedAway = 0;
};

} // namespace tarragontray
