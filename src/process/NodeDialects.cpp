#include "process/NodeDialects.h"

#include "process/StatusJson.h"
#include "request/NativeDialect.h"
#include "version/ConfigurationJson.h"

namespace tarragontray {

NodeDialects
NativeDialects()
{
  NodeDialects dialects;
  dialects.m_callers = std::make_shared<NativeCallerDialect>();
  dialects.m_upstreams = std::make_shared<NativeUpstreamDialect>();
  dialects.m_control = std::make_shared<NativeControlDialect>();
  dialects.m_decoder = std::make_shared<JsonConfigurationDecoder>();
  dialects.m_makePlatform = PlatformSession::Create;
  return dialects;
}

} // namespace tarragontray
