#include "process/ConfigurationStore.h"

#include <string>

#include <criterion/criterion.h>

#include "version/ConfigurationJson.h"
#include "version/ConfigurationSamples.h"
#include "version/Expansion.h"
#include "version/JsonMutations.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

const ClientAccountId kMesqel{ "mesqel-gate" };
const ClientAccountId kVanua{ "vanua-voice" };
const ServiceId kBoxOffice{ kMesqel, ServiceName{ "box-office" } };
const ServiceId kCatalogue{ kMesqel, ServiceName{ "catalogue" } };
const ServiceId kBoothDesk{ kVanua, ServiceName{ "booth-desk" } };

Document
TemplateDocument(std::uint64_t aRevision = 1)
{
  return { ObjectKey("templates/sample/3"),
           Revision(aRevision),
           SampleTemplateText() };
}

/// A valid version whose parameter "wait" depends on the revision.
Document
VersionDocument(std::uint64_t aRevision)
{
  AccountParameters parameters = SampleParameters();
  parameters.m_values[ParameterName{ "wait" }] =
    static_cast<std::int64_t>(100 + aRevision);
  return { ConfigurationKey(kMesqel),
           Revision(aRevision),
           EncodeParameters(parameters) };
}

Document
BadDocument(std::uint64_t aRevision)
{
  Document document = VersionDocument(aRevision);
  document.m_body.replace(document.m_body.find("\"fans\""), 6, "\"tout\"");
  return document;
}

/// A store in which every service of the sample is announced.
class StoreWithServices
{
public:
  StoreWithServices()
  {
    m_store.SetKnownServices({ kBoxOffice, kCatalogue, kBoothDesk });
  }

  ConfigurationStore* operator->() { return &m_store; }

  std::uint64_t InForce() const
  {
    const auto configuration = m_store.InForce(kMesqel);
    return configuration ? configuration->m_version.Value() : 0;
  }

  PendingVersion Pending() const { return *m_store.Status()[0].m_pending; }

private:
  JsonConfigurationDecoder m_decoder;
  ConfigurationStore m_store{ m_decoder };
};

} // namespace

Test(ConfigurationStore, AppliesAVersionAndItsSuccessor)
{
  StoreWithServices store;
  const auto first = store->Offer({ TemplateDocument(), VersionDocument(5) });
  cr_assert(first.size() == 1);
  cr_assert(first[0].m_account == kMesqel);
  cr_assert(first[0].m_configuration->m_version == Revision{ 5 });
  cr_assert(store->Offer({ VersionDocument(9) }).size() == 1);
  cr_assert(store.InForce() == 9);
}

Test(ConfigurationStore, StaleOrDuplicateVersionsNeverReplaceANewerOne)
{
  StoreWithServices store;
  store->Offer({ TemplateDocument(), VersionDocument(9) });
  const auto inForce = store->InForce(kMesqel);
  for (const std::uint64_t revision : { 5, 9, 8, 1, 9 }) {
    cr_assert(store->Offer({ VersionDocument(revision) }).empty());
    cr_assert(store->InForce(kMesqel) == inForce);
  }
  // A batch in descending order and a change of the known services do not
  // lower the version, either.
  store->Offer({ VersionDocument(12), VersionDocument(11) });
  cr_assert(store.InForce() == 12);
  cr_assert(store->SetKnownServices({}).empty());
  cr_assert(store.InForce() == 12);
}

/// A node that starts after a restore of the platform reads the copy first.
Test(ConfigurationStore, ACopyInForceKeepsTheNewerVersionOfAPeerOut)
{
  const auto inEra =
    [](std::uint64_t aEra, std::uint64_t aNumber, std::uint64_t aVersion) {
      Document document = VersionDocument(aNumber);
      document.m_revision = *RevisionIn(PlatformEra(aEra), aNumber);
      document.m_version = WriterVersion(aVersion);
      return document;
    };
  StoreWithServices store;
  store->Offer({ TemplateDocument(), inEra(2, 24, 12) });
  cr_assert_eq(store.InForce(), inEra(2, 24, 12).m_revision.Value());
  store->Offer({ inEra(1, 25, 18) });
  cr_assert_eq(store.InForce(), inEra(1, 25, 18).m_revision.Value());
  store->Offer({ inEra(2, 24, 12) });
  cr_assert_eq(store.InForce(), inEra(1, 25, 18).m_revision.Value());
  store->Offer({ inEra(2, 25, 20) });
  cr_assert_eq(store.InForce(), inEra(2, 25, 20).m_revision.Value());
}

Test(ConfigurationStore, StaleVersionsAreNotKeptForOtherNodes)
{
  StoreWithServices store;
  store->Offer({ TemplateDocument(), VersionDocument(9) });
  store->Offer({ VersionDocument(5) });
  cr_assert(store->Documents().size() == 2);
  cr_assert(store->Find(ConfigurationKey(kMesqel))->m_revision ==
            Revision{ 9 });
}

Test(ConfigurationStore, AVersionWaitsForItsTemplate)
{
  StoreWithServices store;
  cr_assert(store->Offer({ VersionDocument(5) }).empty());
  cr_assert(store.Pending().m_reason == PendingReason::TemplateMissing);
  cr_assert(store->MissingTemplates() ==
            std::vector{ ObjectKey("templates/sample/3") });
  cr_assert(store->Offer({ TemplateDocument() }).size() == 1);
  cr_assert(store.InForce() == 5);
  cr_assert(store->MissingTemplates().empty());
}

Test(ConfigurationStore, AVersionWaitsForAllServicesOfItsRoutes)
{
  StoreWithServices store;
  store->SetKnownServices({ kBoxOffice, kCatalogue });
  cr_assert(store->Offer({ TemplateDocument(), VersionDocument(5) }).empty());
  cr_assert(store.InForce() == 0);
  cr_assert(store.Pending().m_reason == PendingReason::ServicesUnknown);
  cr_assert(store.Pending().m_detail == "vanua-voice/booth-desk");
  const auto changes =
    store->SetKnownServices({ kBoxOffice, kCatalogue, kBoothDesk });
  cr_assert(changes.size() == 1);
  cr_assert(store.InForce() == 5);
}

Test(ConfigurationStore, AVersionStaysInForceWhenAServiceDisappears)
{
  StoreWithServices store;
  store->Offer({ TemplateDocument(), VersionDocument(5) });
  cr_assert(store->SetKnownServices({ kBoxOffice, kCatalogue }).empty());
  cr_assert(store.InForce() == 5);
  // The version in force routes to the service already, so the next version may
  // keep the route.
  store->Offer({ VersionDocument(6) });
  cr_assert(store.InForce() == 6);
}

Test(ConfigurationStore, ARemovedServiceMustBeAnnouncedAgain)
{
  StoreWithServices store;
  store->Offer({ TemplateDocument(), VersionDocument(5) });
  AccountParameters parameters = SampleParameters();
  parameters.m_services.pop_back();
  store->Offer({ { ConfigurationKey(kMesqel),
                   Revision{ 6 },
                   EncodeParameters(parameters) } });
  cr_assert(store.InForce() == 6);
  store->SetKnownServices({ kBoxOffice });
  store->Offer({ VersionDocument(7) });
  cr_assert(store.InForce() == 6);
  cr_assert(store.Pending().m_detail == "mesqel-gate/catalogue");
}

Test(ConfigurationStore, ARejectedVersionLeavesThePreviousInForce)
{
  StoreWithServices store;
  store->Offer({ TemplateDocument(), VersionDocument(5) });
  const auto before = store->InForce(kMesqel);
  cr_assert(store->Offer({ BadDocument(6) }).empty());
  cr_assert(store->InForce(kMesqel) == before);
  cr_assert(store.Pending().m_version == Revision{ 6 });
  cr_assert(store.Pending().m_reason == PendingReason::Rejected);
  cr_assert(store.Pending().m_detail.starts_with("template.routes[0].class"));
  store->Offer({ VersionDocument(7) });
  cr_assert(store.InForce() == 7);
  cr_assert(!store->Status()[0].m_pending);
}

Test(ConfigurationStore, ANewNodeAppliesTheVersionBeforeARejectedOne)
{
  StoreWithServices old;
  old->Offer({ TemplateDocument(), VersionDocument(5) });
  old->Offer({ BadDocument(6) });
  StoreWithServices replacement;
  replacement->Offer(old->Documents());
  cr_assert(replacement.InForce() == 5);
  cr_assert(replacement.Pending().m_version == Revision{ 6 });
}

Test(ConfigurationStore, AnInvalidFieldLeavesThePreviousVersionInForce)
{
  const JsonConfigurationDecoder decoder;
  const auto check = [&](const JsonMutation& aMutation,
                         const std::string& aTemplate,
                         const std::string& aParameters) {
    StoreWithServices store;
    store->Offer({ TemplateDocument(), VersionDocument(5) });
    const auto before = store->InForce(kMesqel);
    store->Offer(
      { { ObjectKey("templates/sample/4"), Revision{ 6 }, aTemplate },
        { ConfigurationKey(kMesqel), Revision{ 7 }, aParameters } });
    const auto after = store->InForce(kMesqel);
    if (after == before) {
      cr_assert(*after == *before);
      cr_assert(store.Pending().m_version == Revision{ 7 });
      cr_assert(!store.Pending().m_detail.empty());
      return false;
    }
    const Result<Configuration> expanded =
      ExpandTemplate(decoder.DecodeTemplate(aTemplate).value(),
                     decoder.DecodeParameters(aParameters).value(),
                     Revision{ 7 });
    cr_assert(*after == expanded.value(), "at %s", aMutation.m_path.c_str());
    return true;
  };

  Template nextTemplate = SampleTemplate();
  nextTemplate.m_version = TemplateVersion{ 4 };
  AccountParameters nextParameters = SampleParameters();
  nextParameters.m_templateVersion = TemplateVersion{ 4 };
  const std::string templateText = EncodeTemplate(nextTemplate);
  const std::string parametersText = EncodeParameters(nextParameters);
  std::size_t applied = 0;
  std::size_t kept = 0;
  for (const auto& mutation : ReplacementMutations(templateText, "template")) {
    check(mutation, mutation.m_text, parametersText) ? ++applied : ++kept;
  }
  for (const auto& mutation :
       ReplacementMutations(parametersText, "parameters")) {
    check(mutation, templateText, mutation.m_text) ? ++applied : ++kept;
  }
  cr_assert(applied > 10 && kept > 1'000, "%zu %zu", applied, kept);
}

Test(ConfigurationStore, ServesNothingBelowTheFloor)
{
  StoreWithServices store;
  cr_assert(store->RaiseFloor(kMesqel, Revision{ 8 }).empty());
  store->Offer({ TemplateDocument(), VersionDocument(7) });
  cr_assert(store.InForce() == 0);
  cr_assert(store.Pending().m_reason == PendingReason::BelowFloor);
  store->Offer({ VersionDocument(8) });
  cr_assert(store.InForce() == 8);
}

Test(ConfigurationStore, ALaterFloorWithdrawsALowerVersion)
{
  StoreWithServices store;
  store->Offer({ TemplateDocument(), VersionDocument(7) });
  cr_assert(store->RaiseFloor(kMesqel, Revision{ 6 }).empty());
  const auto changes = store->RaiseFloor(kMesqel, Revision{ 8 });
  cr_assert(changes.size() == 1);
  cr_assert(changes[0].m_configuration == nullptr);
  cr_assert(store.InForce() == 0);
  // RaiseFloor never lowers the floor.
  store->RaiseFloor(kMesqel, Revision{ 2 });
  cr_assert(store.InForce() == 0);
  store->Offer({ VersionDocument(9) });
  cr_assert(store.InForce() == 9);
}

Test(ConfigurationStore, RejectsParametersOfAnotherAccount)
{
  StoreWithServices store;
  Document document = VersionDocument(5);
  document.m_key = ConfigurationKey(kVanua);
  store->Offer({ TemplateDocument(), document });
  cr_assert(store->InForce(kVanua) == nullptr);
  cr_assert(store.Pending().m_detail.starts_with("parameters.account"));
}

Test(ConfigurationStore, IgnoresOtherKeys)
{
  StoreWithServices store;
  cr_assert(store->Offer({ { ObjectKey("ledger/vm/1"), Revision{ 1 }, "{}" } })
              .empty());
  cr_assert(store->Documents().empty());
}

Test(ConfigurationStore, EvictsOldTemplatesButKeepsThoseInUse)
{
  constexpr std::uint64_t kMoreThanFit = 600;
  StoreWithServices store;
  store->Offer({ TemplateDocument(), VersionDocument(5) });
  for (std::uint64_t i = 0; i < kMoreThanFit; ++i) {
    store->Offer({ { ObjectKey("templates/other/" + std::to_string(i)),
                     Revision{ 10 + i },
                     "{}" } });
  }
  cr_assert(store->Find(ObjectKey("templates/sample/3")) != nullptr);
  cr_assert(store->Find(ObjectKey("templates/other/0")) == nullptr);
  cr_assert(store->Find(ObjectKey("templates/other/599")) != nullptr);
  cr_assert(store->TurnedAway() == 0);
}

} // namespace tarragontray
