/// \file
/// HTTP connections to the upstream of this node's own VM.
///
/// Each call uses one connection; idle connections are kept for later calls.
/// When a reused connection turns out to be closed by the upstream, the owner
/// decides whether the call is sent once more. A call that is not idempotent
/// uses a connection that became idle a moment ago, or a new one. The
/// connection of an aborted or failed call is closed, so that a late answer
/// never reaches another caller.
/// An answer that ends with its connection fails unless the whole request was
/// written.
/// Interim answers (1xx) are skipped, up to a bound. An answer fails when one
/// of its parts exceeds its bound, or when its status is not one of a final
/// response: such bytes are no answer, and the call may have run.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "request/NativeDialect.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace tarragontray {

/// A call that was handed to the upstream.
class UpstreamRun
{
public:
  virtual ~UpstreamRun() = default;
  /// Closes the connection; the outcome is Unknown if the call was sent. Does
  /// nothing once the call has ended.
  virtual void Abort() = 0;
};

/// See the file comment.
class UpstreamPool
{
public:
  /// Receives the answer, with the m_id of the call. Outcomes: Done with a
  /// complete answer; NotRun when no connection could be made or the upstream
  /// shed the call; Unknown for any failure after the call was handed over.
  using Done = std::function<void(Answer)>;

  /// Decides whether a call is sent once more, on a new connection. Asked when
  /// the upstream has closed a connection that an earlier call had used, before
  /// any byte of the answer arrived. \param aSinceSent time since the call was
  /// sent.
  using MayResend = std::function<bool(Duration aSinceSent)>;

  virtual ~UpstreamPool() = default;

  /// \param aClock must outlive the pool.
  static std::unique_ptr<UpstreamPool> Create(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    std::shared_ptr<const UpstreamDialect> aDialect =
      std::make_shared<NativeUpstreamDialect>());

  /// Sets the address and the instance of the upstream; when either changes,
  /// the idle connections are closed.
  virtual void SetEndpoint(const UpstreamEndpoint& aEndpoint) = 0;
  void SetAddress(const NetworkAddress& aAddress)
  {
    SetEndpoint({ aAddress, {} });
  }

  /// Hands a call to the upstream. aDone is called once, after Start returned.
  /// aMayResend is called at most once, before aDone; null: the call is never
  /// sent again.
  virtual std::shared_ptr<UpstreamRun> Start(Call aCall,
                                             Done aDone,
                                             MayResend aMayResend) = 0;
  std::shared_ptr<UpstreamRun> Start(Call aCall, Done aDone)
  {
    return Start(std::move(aCall), std::move(aDone), nullptr);
  }

  /// Maximum number of idle connections.
  static constexpr std::size_t kMaxIdle = 64;
};

} // namespace tarragontray
