/// \file
/// The HTTP/1.1 server of the stand-ins: it can answer late, cut an answer
/// short, drop a connection, or leave it silent.
///
///     auto server = FaultyHttpServer::Listen(
///       context,
///       { .m_address = address },
///       [](FaultyHttpServer::Exchange aExchange) {
///         aExchange->AnswerCut({ 200, {}, "whole" }, 3);
///       });
///
/// The node's own server is connection/HttpServer.h, which always gives whole
/// answers. A connection carries one request at a time; a request that breaks
/// HTTP or a bound gets 400 or 413 and its connection is closed.
///
/// Thread safety: one thread, the one that runs the io_context.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "request/Call.h"

namespace boost::asio {
class io_context;
}

namespace tarragontray {

/// Where an FaultyHttpServer listens, and its bounds.
struct FaultyServerSettings
{
  /// Port 0 picks a free one.
  NetworkAddress m_address;
  ByteCount m_maxBody{ 2U << 20U };
  /// A connection without a request for so long is closed.
  Duration m_idleTimeout{ std::chrono::seconds(120) };
  /// Connections over this bound are closed at once.
  std::size_t m_maxConnections = 4096;
};

/// One request and the way to answer it. Exactly one of Answer, AnswerCut and
/// Drop ends it; one that is neither answered nor dropped leaves the
/// connection silent until the server closes it.
class FaultyExchange
{
public:
  virtual ~FaultyExchange() = default;

  virtual const HttpRequestParts& Request() const = 0;
  /// Sends the whole answer.
  virtual void Answer(HttpAnswerParts aAnswer) = 0;
  /// Sends an answer of which only the first aBytes of the body arrive.
  virtual void AnswerCut(HttpAnswerParts aAnswer, std::size_t aBytes) = 0;
  /// Closes the connection without an answer.
  virtual void Drop() = 0;
  /// Calls aClosed when the peer closes its connection before the end.
  virtual void OnClosed(std::function<void()> aClosed) = 0;
  /// Whether it can still be answered.
  virtual bool IsOpen() const = 0;
};

/// See the file comment.
class FaultyHttpServer
{
public:
  using Exchange = std::shared_ptr<FaultyExchange>;
  using Handler = std::function<void(Exchange)>;

  /// Listens at once. Errors: Unreachable when the address can't be had.
  /// Precondition: aContext outlives the server.
  static Result<std::unique_ptr<FaultyHttpServer>> Listen(
    boost::asio::io_context& aContext,
    FaultyServerSettings aSettings,
    Handler aHandler);
  /// Closes the listening socket and every connection.
  ~FaultyHttpServer();
  FaultyHttpServer(const FaultyHttpServer&) = delete;
  FaultyHttpServer& operator=(const FaultyHttpServer&) = delete;

  /// The address with the port that was picked.
  NetworkAddress Address() const;
  /// Takes no new connections; those that are open go on.
  void StopListening();
  std::size_t ConnectionCount() const;

private:
  class State;
  explicit FaultyHttpServer(std::shared_ptr<State> aState);

  std::shared_ptr<State> m_state;
};

} // namespace tarragontray
