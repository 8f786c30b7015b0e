/// \file
/// The ways in which a node speaks to callers, upstreams, its platform and
/// those who ask for its state. Another deployment brings others; the node's
/// decisions know none of them.
///
/// Thread safety: values; what they point to is used by any thread.
#pragma once

#include <functional>
#include <memory>

#include "base/Result.h"
#include "connection/Platform.h"
#include "connection/PlatformSession.h"
#include "process/ControlDialect.h"
#include "request/HttpDialect.h"
#include "version/ConfigurationDecoder.h"

namespace tarragontray {

struct NodeDialects
{
  using MakePlatform =
    std::function<Result<std::unique_ptr<Platform>>(boost::asio::io_context&,
                                                    PlatformSettings)>;

  std::shared_ptr<const CallerDialect> m_callers;
  std::shared_ptr<const UpstreamDialect> m_upstreams;
  std::shared_ptr<const ControlDialect> m_control;
  std::shared_ptr<const ConfigurationDecoder> m_decoder;
  /// The client of the platform at one address.
  MakePlatform m_makePlatform;
};

/// Those of docs/PROTOCOLS.md.
NodeDialects
NativeDialects();

} // namespace tarragontray
