/// \file
/// A small HTTP/1.1 server: one handler, answers given now or later.
///
///     Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
///       context, { .m_address = address }, [](HttpServer::Exchange aExchange)
///       {
///         aExchange->Answer({ .m_status = 204 });
///       });
///
/// A connection carries one request at a time; a request that breaks HTTP or
/// a bound gets 400 or 413 and its connection is closed.
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

/// Where an HttpServer listens, and its bounds.
struct HttpServerSettings
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
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequestParts& Request() const = 0;
  /// Sends the whole answer.
  virtual void Answer(HttpAnswerParts aAnswer) = 0;
  /// Sends an answer of which only the first aBytes of the body arrive.
  virtual void AnswerCut(HttpAnswerParts aAnswer, std::size_t aBytes) = 0;
  /// Closes the connection without an answer.
  virtual void Drop() = 0;
  /// Calls aClosed when the peer closes its connection before the end.
  virtual void OnClosed(std::function<void()> aClosed) = 0;
};

/// See the file comment.
class HttpServer
{
public:
  using Exchange = std::shared_ptr<HttpExchange>;
  using Handler = std::function<void(Exchange)>;

  /// Listens at once. Errors: Unreachable when the address can't be had.
  /// Precondition: aContext outlives the server.
  static Result<std::unique_ptr<HttpServer>> Listen(
    boost::asio::io_context& aContext,
    HttpServerSettings aSettings,
    Handler aHandler);
  /// Closes the listening socket and every connection.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The address with the port that was picked.
  NetworkAddress Address() const;
  /// Takes no new connections; those that are open go on.
  void StopListening();
  std::size_t ConnectionCount() const;

private:
  class State;
  explicit HttpServer(std::shared_ptr<State> aState);

  std::shared_ptr<State> m_state;
};

} // namespace tarragontray
