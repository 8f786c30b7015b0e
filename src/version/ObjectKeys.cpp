#include "version/ObjectKeys.h"

#include <string>

namespace tarragontray {

ObjectKey
TemplateKey(const TemplateName& aName, TemplateVersion aVersion)
{
  return ObjectKey(std::string(kTemplatePrefix) + aName.Value() + "/" +
                   std::to_string(aVersion.Value()));
}

ObjectKey
ConfigurationKey(const ClientAccountId& aAccount)
{
  return ObjectKey(std::string(kConfigurationPrefix) + aAccount.Value());
}

ObjectKey
MoveKey(const MoveId& aMove)
{
  return ObjectKey(std::string(kMovePrefix) + aMove.m_service.m_owner.Value() +
                   "/" + aMove.m_service.m_name.Value() + "/" +
                   std::to_string(aMove.m_plan.Value()));
}

ObjectKey
OrderKey(const ServiceId& aService)
{
  return ObjectKey(std::string(kOrderPrefix) + aService.m_owner.Value() + "/" +
                   aService.m_name.Value());
}

ObjectKey
NodeKey(const VmId& aVm)
{
  return ObjectKey(std::string(kNodePrefix) + aVm.Value());
}

std::optional<ServiceId>
ServiceOfOrderKey(const ObjectKey& aKey)
{
  const std::string& text = aKey.Value();
  const auto slash = text.find('/', kOrderPrefix.size());
  if (!text.starts_with(kOrderPrefix) || slash == std::string::npos) {
    return std::nullopt;
  }
  return ServiceId{ ClientAccountId(text.substr(kOrderPrefix.size(),
                                                slash - kOrderPrefix.size())),
                    ServiceName(text.substr(slash + 1)) };
}

ObjectKey
EvacuationKey(const DataCentreId& aDataCentre)
{
  return ObjectKey(std::string(kEvacuationPrefix) + aDataCentre.Value());
}

std::optional<DataCentreId>
DataCentreOfEvacuationKey(const ObjectKey& aKey)
{
  if (!aKey.Value().starts_with(kEvacuationPrefix)) {
    return std::nullopt;
  }
  return DataCentreId(aKey.Value().substr(kEvacuationPrefix.size()));
}

bool
IsTemplateKey(const ObjectKey& aKey)
{
  return aKey.Value().starts_with(kTemplatePrefix);
}

std::optional<ClientAccountId>
AccountOfConfigurationKey(const ObjectKey& aKey)
{
  if (!aKey.Value().starts_with(kConfigurationPrefix)) {
    return std::nullopt;
  }
  return ClientAccountId(aKey.Value().substr(kConfigurationPrefix.size()));
}

} // namespace tarragontray
