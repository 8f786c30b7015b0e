/// \file
/// HTTP connections to the upstream of this node's own VM.
///
/// One call uses one connection; idle connections are kept for the next call.
/// A call that may run twice is sent again when an idle connection turns out
/// to be forgotten; any other gets one that was just used, or a new one.
/// An aborted or failed call's connection is closed, never used again, so that
/// no late answer can reach another caller.
/// Interim answers (1xx) are passed over; an answer beyond a bound, or one of
/// which some part has no end, counts as failed.
///
///     auto pool = UpstreamPool::Create(context, clock);
///     pool->SetPlace({ address, instance });
///     std::shared_ptr<UpstreamRun> run =
///       pool->Start(call, [](Answer aAnswer) { ... });
///
/// Thread safety: one thread, that of the io_context.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/Clock.h"
#include "base/NetworkAddress.h"
#include "request/NativeDialect.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace tarragontray {

/// A call that runs at the upstream.
class UpstreamRun
{
public:
  virtual ~UpstreamRun() = default;
  /// Closes the connection; the answer says Unknown. Does nothing once the
  /// call has ended.
  virtual void Abort() = 0;
};

/// See the file comment.
class UpstreamPool
{
public:
  /// Gets the answer; its m_id is that of the call. Outcomes: Done with the
  /// whole answer; NotRun when no connection could be made or the upstream
  /// shed the call; Unknown for every failure behind the hand-over.
  using Done = std::function<void(Answer)>;

  virtual ~UpstreamPool() = default;

  /// \param aClock must outlive the pool.
  static std::unique_ptr<UpstreamPool> Create(
    boost::asio::io_context& aContext,
    const Clock& aClock,
    std::shared_ptr<const UpstreamDialect> aDialect =
      std::make_shared<NativeUpstreamDialect>());

  /// Where the upstream listens and which life of it; idle connections to
  /// another one close.
  virtual void SetPlace(const UpstreamEndpoint& aPlace) = 0;
  void SetAddress(const NetworkAddress& aAddress)
  {
    SetPlace({ aAddress, {} });
  }

  /// Hands a call to the upstream. aDone is called exactly once, later.
  virtual std::shared_ptr<UpstreamRun> Start(Call aCall, Done aDone) = 0;

  /// Idle connections that are kept.
  static constexpr std::size_t kMaxIdle = 64;
};

} // namespace tarragontray
