#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "process/ConfigurationStore.h"
#include "version/ConfigurationJson.h"
#include "version/ConfigurationSamples.h"
#include "version/Expansion.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

const ClientAccountId kMesqel{ "mesqel-gate" };
const ServiceId kBoxOffice{ kMesqel, ServiceName{ "box-office" } };
const ServiceId kCatalogue{ kMesqel, ServiceName{ "catalogue" } };
const ServiceId kBoothDesk{ ClientAccountId{ "vanua-voice" },
                            ServiceName{ "booth-desk" } };
constexpr std::uint64_t kVersions = 8;
constexpr std::uint64_t kTemplates = 2;

enum class Kind
{
  Valid,
  Rejected,
  /// Does not expose the catalogue service, unlike the other versions.
  Smaller,
};

/// All versions of one account and the templates that they use.
struct History
{
  std::vector<Document> m_documents;
  std::map<Revision, Configuration> m_valid;
};

Template
TemplateOf(std::uint64_t aVersion)
{
  Template shared = SampleTemplate();
  shared.m_version = TemplateVersion(aVersion);
  return shared;
}

AccountParameters
ParametersOf(std::uint64_t aVersion, Kind aKind)
{
  AccountParameters parameters = SampleParameters();
  parameters.m_templateVersion = TemplateVersion(1 + aVersion % kTemplates);
  parameters.m_values[ParameterName{ "wait" }] =
    static_cast<std::int64_t>(100 + aVersion);
  if (aKind == Kind::Rejected) {
    parameters.m_values.erase(ParameterName{ "buyers" });
  }
  if (aKind == Kind::Smaller) {
    parameters.m_services.pop_back();
  }
  return parameters;
}

History
HistoryOf(const std::vector<Kind>& aKinds)
{
  History history;
  for (std::uint64_t i = 1; i <= kTemplates; ++i) {
    history.m_documents.push_back(
      { TemplateKey(TemplateName{ "sample" }, TemplateVersion(i)),
        Revision(i),
        EncodeTemplate(TemplateOf(i)) });
  }
  for (std::uint64_t i = 0; i < aKinds.size(); ++i) {
    const Revision revision(10 + i);
    const AccountParameters parameters = ParametersOf(i, aKinds[i]);
    history.m_documents.push_back(
      { ConfigurationKey(kMesqel), revision, EncodeParameters(parameters) });
    Result<Configuration> expanded = ExpandTemplate(
      TemplateOf(parameters.m_templateVersion.Value()), parameters, revision);
    if (expanded) {
      history.m_valid.emplace(revision, std::move(expanded).value());
    }
  }
  return history;
}

/// Checks the store's invariants after each change.
class Session
{
public:
  explicit Session(const History& aHistory)
    : m_history(aHistory)
  {
  }

  void Offer(const std::vector<Document>& aDocuments)
  {
    Check(m_store.Offer(aDocuments));
  }

  void Announce(const std::set<ServiceId>& aServices)
  {
    m_known = aServices;
    Check(m_store.SetKnownServices(aServices));
  }

  Revision InForce() const { return m_inForce; }

private:
  void Check(const std::vector<ConfigurationChange>& aChanges)
  {
    RC_ASSERT(aChanges.size() <= 1U);
    for (const ConfigurationChange& change : aChanges) {
      const Configuration& now = *change.m_configuration;
      RC_ASSERT(now.m_version > m_inForce);
      RC_ASSERT(now == m_history.m_valid.at(now.m_version));
      for (const RouteSpec& route : now.m_routes) {
        RC_ASSERT(m_known.contains(route.m_service) ||
                  m_routed.contains(route.m_service));
      }
      m_inForce = now.m_version;
      m_routed.clear();
      for (const RouteSpec& route : now.m_routes) {
        m_routed.insert(route.m_service);
      }
    }
    const auto inForce = m_store.InForce(kMesqel);
    RC_ASSERT((inForce ? inForce->m_version : Revision{ 0 }) == m_inForce);
  }

  const History& m_history;
  JsonConfigurationDecoder m_decoder;
  ConfigurationStore m_store{ m_decoder };
  std::set<ServiceId> m_known;
  std::set<ServiceId> m_routed;
  Revision m_inForce;
};

rc::Gen<std::set<ServiceId>>
Services()
{
  return rc::gen::map(rc::gen::inRange(0, 8), [](int aBits) {
    std::set<ServiceId> services;
    const ServiceId all[] = { kBoxOffice, kCatalogue, kBoothDesk };
    for (int i = 0; i < 3; ++i) {
      if ((aBits >> i & 1) != 0) {
        services.insert(all[i]);
      }
    }
    return services;
  });
}

Revision
HighestValid(const History& aHistory)
{
  return aHistory.m_valid.empty() ? Revision{ 0 }
                                  : aHistory.m_valid.rbegin()->first;
}

} // namespace

// Documents arrive in random order with duplicates while the set of announced
// services changes. The version in force never decreases and is always
// completely expanded. Once all documents have arrived, the highest valid
// version is in force.
Test(ConfigurationOrder, AnyOrderConvergesOnTheHighestValidVersion)
{
  const bool holds = rc::check([] {
    const auto kinds = *rc::gen::container<std::vector<Kind>>(
      kVersions, rc::gen::element(Kind::Valid, Kind::Rejected, Kind::Smaller));
    const History history = HistoryOf(kinds);
    Session session(history);
    const auto order = *rc::gen::container<std::vector<Document>>(
      30, rc::gen::elementOf(history.m_documents));
    for (const Document& document : order) {
      session.Announce(*Services());
      session.Offer({ document });
    }
    session.Announce({ kBoxOffice, kCatalogue, kBoothDesk });
    session.Offer(history.m_documents);
    RC_ASSERT(session.InForce() == HighestValid(history));
  });
  cr_assert(holds);
}

} // namespace tarragontray
