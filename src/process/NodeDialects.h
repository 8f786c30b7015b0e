/// \file
/// The protocols of a deployment: how a node exchanges messages with callers,
/// upstreams, the platform and clients of its admin address. A deployment with
/// other protocols supplies other implementations; the node's decisions do not
/// depend on them.
///
/// Thread safety: values; the dialects that they point to are thread-safe.
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

/// One implementation of each protocol. No pointer is null.
struct NodeDialects
{
  using MakePlatform =
    std::function<Result<std::unique_ptr<Platform>>(boost::asio::io_context&,
                                                    PlatformSettings)>;

  std::shared_ptr<const CallerDialect> m_callers;
  std::shared_ptr<const UpstreamDialect> m_upstreams;
  std::shared_ptr<const ControlDialect> m_control;
  std::shared_ptr<const ConfigurationDecoder> m_decoder;
  /// Creates a client of the platform at one address.
  MakePlatform m_makePlatform;
};

/// Returns the native protocols, described in docs/PROTOCOLS.md.
NodeDialects
NativeDialects();

} // namespace tarragontray
