#include "process/ConfigurationStore.h"

#include <algorithm>
#include <utility>

#include "version/Expansion.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

constexpr DocumentLimits kTemplateLimits{ .m_maxKeys = 512,
                                          .m_maxRevisions = 1,
                                          .m_maxBytes =
                                            ByteCount{ 32U << 20U } };
/// Leaves room for the version in force and several pending or rejected ones.
constexpr DocumentLimits kConfigurationLimits{ .m_maxKeys = 1'024,
                                               .m_maxRevisions = 8,
                                               .m_maxBytes =
                                                 ByteCount{ 32U << 20U } };
constexpr std::size_t kMaxFloors = 4'096;

bool
RoutesTo(const Configuration& aConfiguration, const ServiceId& aService)
{
  return std::any_of(
    aConfiguration.m_routes.begin(),
    aConfiguration.m_routes.end(),
    [&](const RouteSpec& aRoute) { return aRoute.m_service == aService; });
}

} // namespace

std::string_view
Name(PendingReason aReason)
{
  switch (aReason) {
    case PendingReason::TemplateMissing:
      return "template-missing";
    case PendingReason::ServicesUnknown:
      return "services-unknown";
    case PendingReason::Rejected:
      return "rejected";
    case PendingReason::BelowFloor:
      return "below-floor";
  }
  return "unknown";
}

ConfigurationStore::ConfigurationStore(const ConfigurationDecoder& aDecoder)
  : m_decoder(aDecoder)
  , m_templates(kTemplateLimits)
  , m_configurations(kConfigurationLimits)
{
}

std::vector<ConfigurationChange>
ConfigurationStore::Offer(const std::vector<Document>& aDocuments)
{
  bool isChanged = false;
  for (const Document& document : aDocuments) {
    isChanged |= Store(document);
  }
  return isChanged ? EvaluateAll() : std::vector<ConfigurationChange>{};
}

std::vector<ConfigurationChange>
ConfigurationStore::SetKnownServices(std::set<ServiceId> aServices)
{
  if (aServices == m_knownServices) {
    return {};
  }
  m_knownServices = std::move(aServices);
  return EvaluateAll();
}

std::vector<ConfigurationChange>
ConfigurationStore::RaiseFloor(const ClientAccountId& aAccount, Revision aFloor)
{
  if (!m_accounts.contains(aAccount) && m_accounts.size() >= kMaxFloors) {
    ++m_turnedAway;
    return {};
  }
  Account& account = m_accounts[aAccount];
  account.m_floor = std::max(account.m_floor, aFloor);
  std::vector<ConfigurationChange> changes;
  if (account.m_inForce && account.m_inForce->m_version < account.m_floor) {
    account.m_inForce = nullptr;
    changes.push_back({ aAccount, nullptr });
  }
  if (EvaluateAccount(aAccount, account)) {
    changes.push_back({ aAccount, account.m_inForce });
  }
  return changes;
}

std::shared_ptr<const Configuration>
ConfigurationStore::InForce(const ClientAccountId& aAccount) const
{
  const auto found = m_accounts.find(aAccount);
  return found == m_accounts.end() ? nullptr : found->second.m_inForce;
}

std::vector<AccountStatus>
ConfigurationStore::Status() const
{
  std::vector<AccountStatus> result;
  result.reserve(m_accounts.size());
  for (const auto& [id, account] : m_accounts) {
    AccountStatus& status = result.emplace_back();
    status.m_account = id;
    if (account.m_inForce) {
      status.m_inForce = account.m_inForce->m_version;
    }
    status.m_floor = account.m_floor;
    status.m_pending = account.m_pending;
  }
  return result;
}

std::vector<ObjectKey>
ConfigurationStore::MissingTemplates() const
{
  std::set<ObjectKey> missing;
  for (const auto& [id, account] : m_accounts) {
    for (const ObjectKey& key : account.m_templates) {
      if (!m_templates.Newest(key)) {
        missing.insert(key);
      }
    }
  }
  return { missing.begin(), missing.end() };
}

const Document*
ConfigurationStore::Find(const ObjectKey& aKey) const
{
  return IsTemplateKey(aKey) ? m_templates.Newest(aKey)
                             : m_configurations.Newest(aKey);
}

std::vector<Document>
ConfigurationStore::Documents() const
{
  std::vector<Document> result = m_templates.All();
  for (Document& document : m_configurations.All()) {
    result.push_back(std::move(document));
  }
  return result;
}

bool
ConfigurationStore::Store(const Document& aDocument)
{
  if (IsTemplateKey(aDocument.m_key)) {
    return StoreTemplate(aDocument);
  }
  const std::optional<ClientAccountId> account =
    AccountOfConfigurationKey(aDocument.m_key);
  if (!account) {
    return false;
  }
  const PutResult result = m_configurations.Put(aDocument);
  if (result == PutResult::LimitExceeded) {
    ++m_turnedAway;
  }
  if (result != PutResult::Stored) {
    return false;
  }
  m_accounts.try_emplace(*account);
  return true;
}

bool
ConfigurationStore::StoreTemplate(const Document& aDocument)
{
  PutResult result = m_templates.Put(aDocument);
  const auto mayDrop = [this](const ObjectKey& aKey) {
    return !IsTemplateInUse(aKey);
  };
  while (result == PutResult::LimitExceeded &&
         m_templates.DropOldest(mayDrop)) {
    result = m_templates.Put(aDocument);
  }
  if (result == PutResult::LimitExceeded) {
    ++m_turnedAway;
  }
  return result == PutResult::Stored;
}

bool
ConfigurationStore::IsTemplateInUse(const ObjectKey& aKey) const
{
  return std::any_of(
    m_accounts.begin(), m_accounts.end(), [&](const auto& aEntry) {
      return aEntry.second.m_templates.contains(aKey);
    });
}

std::vector<ConfigurationChange>
ConfigurationStore::EvaluateAll()
{
  std::vector<ConfigurationChange> changes;
  for (auto& [id, account] : m_accounts) {
    if (EvaluateAccount(id, account)) {
      changes.push_back({ id, account.m_inForce });
    }
  }
  return changes;
}

bool
ConfigurationStore::EvaluateAccount(const ClientAccountId& aId,
                                    Account& aAccount)
{
  const ObjectKey key = ConfigurationKey(aId);
  aAccount.m_pending.reset();
  aAccount.m_templates.clear();
  if (aAccount.m_inForce && !aAccount.m_inForce->m_templateName.IsEmpty()) {
    aAccount.m_templates.insert(
      TemplateKey(aAccount.m_inForce->m_templateName,
                  aAccount.m_inForce->m_templateVersion));
  }
  for (const Document* document : m_configurations.Revisions(key)) {
    if (aAccount.m_inForce &&
        !Supersedes(document->Stamp(), aAccount.m_applied)) {
      break;
    }
    Evaluation evaluation = Evaluate(*document, aAccount);
    if (evaluation.m_configuration) {
      aAccount.m_inForce = std::move(evaluation.m_configuration);
      aAccount.m_applied = document->Stamp();
      m_configurations.DropBelow(key, aAccount.m_inForce->m_version);
      return true;
    }
    if (!aAccount.m_pending) {
      aAccount.m_pending = PendingVersion{ document->m_revision,
                                           evaluation.m_reason,
                                           std::move(evaluation.m_detail) };
    }
  }
  return false;
}

ConfigurationStore::Evaluation
ConfigurationStore::Evaluate(const Document& aDocument, Account& aAccount) const
{
  if (aDocument.m_revision < aAccount.m_floor) {
    return { nullptr,
             PendingReason::BelowFloor,
             "below " + std::to_string(aAccount.m_floor.Value()) +
               ", which this VM had applied" };
  }
  Evaluation evaluation = Expand(aDocument, aAccount);
  if (!evaluation.m_configuration) {
    return evaluation;
  }
  std::string unknown = UnknownServices(*evaluation.m_configuration, aAccount);
  if (!unknown.empty()) {
    return { nullptr, PendingReason::ServicesUnknown, std::move(unknown) };
  }
  return evaluation;
}

ConfigurationStore::Evaluation
ConfigurationStore::Expand(const Document& aDocument, Account& aAccount) const
{
  const auto reject = [](const Error& aError) {
    return Evaluation{ nullptr, PendingReason::Rejected, aError.Detail() };
  };
  if (auto complete = m_decoder.DecodeConfiguration(aDocument)) {
    return *complete ? Evaluation{ std::make_shared<const Configuration>(
                                     std::move(*complete).value()),
                                   {},
                                   {} }
                     : reject(complete->error());
  }
  const Result<AccountParameters> parameters =
    m_decoder.DecodeParameters(aDocument.m_body);
  if (!parameters) {
    return reject(parameters.error());
  }
  if (ConfigurationKey(parameters.value().m_account) != aDocument.m_key) {
    return { nullptr,
             PendingReason::Rejected,
             "parameters.account: does not match the account of the object's "
             "key" };
  }
  const ObjectKey key = TemplateKey(parameters.value().m_template,
                                    parameters.value().m_templateVersion);
  aAccount.m_templates.insert(key);
  const Document* shared = m_templates.Newest(key);
  if (!shared) {
    return { nullptr, PendingReason::TemplateMissing, key.Value() };
  }
  const Result<Template> decoded = m_decoder.DecodeTemplate(shared->m_body);
  if (!decoded) {
    return reject(decoded.error());
  }
  Result<Configuration> expanded =
    ExpandTemplate(decoded.value(), parameters.value(), aDocument.m_revision);
  if (!expanded) {
    return reject(expanded.error());
  }
  return { std::make_shared<const Configuration>(std::move(expanded).value()),
           {},
           {} };
}

std::string
ConfigurationStore::UnknownServices(const Configuration& aConfiguration,
                                    const Account& aAccount) const
{
  if (aConfiguration.m_declaresServices) {
    return {};
  }
  std::set<ServiceId> unknown;
  for (const RouteSpec& route : aConfiguration.m_routes) {
    const bool isServed =
      aAccount.m_inForce && RoutesTo(*aAccount.m_inForce, route.m_service);
    if (!isServed && !m_knownServices.contains(route.m_service)) {
      unknown.insert(route.m_service);
    }
  }
  std::string list;
  for (const ServiceId& service : unknown) {
    list += list.empty() ? "" : ", ";
    list += service.m_owner.Value() + "/" + service.m_name.Value();
  }
  return list;
}

} // namespace tarragontray
