// Compares a session of the configuration store with the record in
// golden/configuration-session.txt: the inputs, the versions that came into
// force and the reasons for pending ones. TT_GOLDEN_WRITE=1 rewrites the
// record.
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

#include "process/ConfigurationStore.h"
#include "version/ConfigurationJson.h"
#include "version/ConfigurationSamples.h"
#include "version/ObjectKeys.h"

namespace tarragontray {

namespace {

const ClientAccountId kMesqel{ "mesqel-gate" };
const ClientAccountId kVanua{ "vanua-voice" };
const ServiceId kBoxOffice{ kMesqel, ServiceName{ "box-office" } };
const ServiceId kCatalogue{ kMesqel, ServiceName{ "catalogue" } };
const ServiceId kBoothDesk{ kVanua, ServiceName{ "booth-desk" } };

Document
TemplateDocument(std::uint64_t aVersion, std::uint64_t aRevision)
{
  Template shared = SampleTemplate();
  shared.m_version = TemplateVersion(aVersion);
  return { TemplateKey(shared.m_name, shared.m_version),
           Revision(aRevision),
           EncodeTemplate(shared) };
}

Document
Version(const ClientAccountId& aAccount,
        std::uint64_t aTemplateVersion,
        std::uint64_t aRevision)
{
  AccountParameters parameters = SampleParameters();
  parameters.m_account = aAccount;
  parameters.m_templateVersion = TemplateVersion(aTemplateVersion);
  if (aAccount == kVanua) {
    parameters.m_services.clear(); // vanua-voice exposes no service.
  }
  return { ConfigurationKey(aAccount),
           Revision(aRevision),
           EncodeParameters(parameters) };
}

Document
Damaged(Document aDocument, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t place = aDocument.m_body.find(aFrom);
  cr_assert(place != std::string::npos);
  aDocument.m_body.replace(place, aFrom.size(), aTo);
  return aDocument;
}

/// Applies inputs to a store and records inputs and results as text.
class Recorder
{
public:
  void Offer(const std::string& aFrom, const std::vector<Document>& aDocuments)
  {
    m_record << aFrom << " offers";
    for (const Document& document : aDocuments) {
      m_record << " " << document.m_key.Value() << "@"
               << document.m_revision.Value();
    }
    Finish(m_store.Offer(aDocuments));
  }

  void Announce(const std::set<ServiceId>& aServices)
  {
    m_record << "members announce";
    for (const ServiceId& service : aServices) {
      m_record << " " << service.m_owner.Value() << "/"
               << service.m_name.Value();
    }
    Finish(m_store.SetKnownServices(aServices));
  }

  void Floor(const ClientAccountId& aAccount, std::uint64_t aFloor)
  {
    m_record << "floor of " << aAccount.Value() << " is " << aFloor;
    Finish(m_store.RaiseFloor(aAccount, Revision(aFloor)));
  }

  std::string Text() const { return m_record.str(); }

private:
  void Finish(const std::vector<ConfigurationChange>& aChanges)
  {
    m_record << "\n";
    for (const ConfigurationChange& change : aChanges) {
      m_record << "  in force: " << change.m_account.Value() << " "
               << (change.m_configuration
                     ? std::to_string(change.m_configuration->m_version.Value())
                     : "none")
               << "\n";
    }
    for (const AccountStatus& status : m_store.Status()) {
      if (status.m_pending) {
        const PendingVersion& pending = *status.m_pending;
        m_record << "  pending: " << status.m_account.Value() << " "
                 << pending.m_version.Value() << " " << Name(pending.m_reason)
                 << " " << pending.m_detail << "\n";
      }
    }
    for (const ObjectKey& key : m_store.MissingTemplates()) {
      m_record << "  missing: " << key.Value() << "\n";
    }
  }

  JsonConfigurationDecoder m_decoder;
  ConfigurationStore m_store{ m_decoder };
  std::ostringstream m_record;
};

std::string
RecordSession()
{
  Recorder recorder;
  recorder.Floor(kMesqel, 12);
  recorder.Offer("peer", { Version(kMesqel, 3, 11) });
  recorder.Offer("peer", { Version(kMesqel, 3, 12), Version(kVanua, 3, 13) });
  recorder.Announce({ kBoxOffice });
  recorder.Offer("relay", { TemplateDocument(3, 5) });
  recorder.Announce({ kBoxOffice, kCatalogue, kBoothDesk });
  recorder.Offer("relay", { Version(kMesqel, 4, 20) });
  recorder.Offer(
    "platform",
    { Damaged(Version(kMesqel, 3, 21), R"("tries":3)", R"("tries":9)") });
  recorder.Offer("platform", { TemplateDocument(4, 19) });
  recorder.Offer("peer", { Version(kMesqel, 3, 12), Version(kMesqel, 4, 20) });
  recorder.Announce({ kBoxOffice });
  recorder.Offer("relay", { Version(kMesqel, 4, 30) });
  recorder.Offer("relay", { Damaged(Version(kVanua, 3, 31), "{", "") });
  recorder.Floor(kVanua, 32);
  recorder.Offer("relay", { Version(kVanua, 4, 33) });
  recorder.Announce({ kBoothDesk });
  return recorder.Text();
}

} // namespace

Test(ConfigurationSession, MatchesTheGoldenRecord)
{
  const std::string path =
    std::string(std::getenv("TT_GOLDEN_DIR")) + "/configuration-session.txt";
  const std::string record = RecordSession();
  if (std::getenv("TT_GOLDEN_WRITE") != nullptr) {
    std::ofstream(path) << record;
  }
  std::ifstream file(path);
  std::ostringstream golden;
  golden << file.rdbuf();
  cr_assert(golden.str() == record, "%s", record.c_str());
}

} // namespace tarragontray
