/// \file
/// An HTTP/1.1 client for one peer over one keep-alive connection.
///
/// Interim responses (1xx) are skipped, up to a bound. A response with another
/// status that is not one of a final response (200 to 599) is Malformed.
///
/// Calls run one after the other, in the order of Send. Any error closes the
/// connection, and the next call opens a new one. The deadline of a call is
/// extended while its answer keeps arriving, so that a large answer may take
/// longer over a slow link.
///
///     auto client = HttpClient::Create(context, { .m_peer = address });
///     client->Send({ request, "platform.read", timeout },
///                  [](Result<HttpAnswerParts> aAnswer) { ... });
///
/// Thread safety: one thread, the one that runs the io_context.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "request/Call.h"

namespace boost::asio {
class io_context;
}

namespace tarragontray {

/// The peer and the bounds of an HttpClient.
struct HttpClientSettings
{
  NetworkAddress m_peer;
  /// A longer answer fails with TooLarge.
  ByteCount m_maxBody{ 1U << 20U };
  /// Time limit for connecting. Short, so that the next attempt reaches a peer
  /// that has recovered sooner than TCP would retransmit a lost SYN.
  Duration m_connectTimeout = std::chrono::milliseconds(500);
  /// Longest pause between two parts of an answer that is still arriving at the
  /// deadline of its call.
  Duration m_pauseTimeout = std::chrono::seconds(1);
  /// How long after the deadline of its call an answer may keep arriving.
  Duration m_maxDeadlineExtension = std::chrono::seconds(8);
  /// Maximum number of queued calls; further calls fail with Unavailable.
  std::size_t m_maxQueued = 1024;
  /// Whether a GET is sent a second time when a reused connection turns out to
  /// be closed. When false, each Send sends at most one request.
  bool m_resendsGet = true;
  /// Called before a GET is sent a second time; optional.
  std::function<void()> m_onResend = nullptr;
};

/// One call of an HttpClient.
struct HttpCall
{
  HttpRequestParts m_request;
  /// Step of errors; ".queue", ".connect", ".send" or ".receive" is appended.
  std::string m_step;
  /// From Send until the answer is complete, or is arriving (see
  /// HttpClientSettings::m_pauseTimeout).
  Duration m_timeout{ 0 };
};

/// See the file comment.
class HttpClient
{
public:
  using Callback = std::function<void(Result<HttpAnswerParts>)>;

  /// Precondition: aContext outlives the client.
  static std::unique_ptr<HttpClient> Create(boost::asio::io_context& aContext,
                                            HttpClientSettings aSettings);
  /// Drops the calls that have not ended, without calling their callbacks.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. aDone is called once, from the io_context, after Send has
  /// returned. Errors: Unreachable, Timeout, Closed (the peer may have received
  /// the request), Malformed, TooLarge, Unavailable.
  /// Requests with methods other than GET are never sent twice.
  void Send(HttpCall aCall, Callback aDone);
  /// True when no call runs or is queued.
  bool IsIdle() const;
  /// Closes an idle connection, so that the next call opens a new one. Does
  /// nothing while a call runs.
  void DropIdleConnection();
  /// Size of all answers, including the arrived part of an incomplete one.
  ByteCount BytesReceived() const;

private:
  class Session;
  explicit HttpClient(std::shared_ptr<Session> aSession);

  std::shared_ptr<Session> m_session;
};

} // namespace tarragontray
