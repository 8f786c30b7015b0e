#include "programs/FaultyHttpServer.h"

#include <optional>
#include <unordered_set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "connection/HttpFields.h"

namespace tarragontray {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

class Connection;
/// The open connections of one server.
using ConnectionSet = std::unordered_set<std::shared_ptr<Connection>>;

HttpRequestParts
FromBeast(http::request<http::string_body>&& aRequest)
{
  HttpRequestParts parts;
  parts.m_method = std::string(aRequest.method_string());
  parts.m_target = std::string(aRequest.target());
  parts.m_headers = EndToEndHeaders(aRequest);
  parts.m_body = std::move(aRequest.body());
  return parts;
}

http::response<http::string_body>
ToBeast(HttpAnswerParts&& aParts, bool aKeepAlive)
{
  http::response<http::string_body> response;
  response.version(11);
  response.result(aParts.m_status);
  response.keep_alive(aKeepAlive);
  for (const HttpHeader& header : aParts.m_headers) {
    response.set(header.m_name, header.m_value);
  }
  response.body() = std::move(aParts.m_body);
  response.prepare_payload();
  return response;
}

/// One accepted connection, kept alive by its pending handlers, its exchange
/// and the server's set of connections.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(tcp::socket aSocket,
             const FaultyServerSettings& aSettings,
             FaultyHttpServer::Handler aHandler,
             std::weak_ptr<ConnectionSet> aOpenConnections)
    : m_stream(std::move(aSocket))
    , m_settings(aSettings)
    , m_handler(std::move(aHandler))
    , m_openConnections(std::move(aOpenConnections))
  {
  }

  void Read()
  {
    m_parser.emplace();
    m_parser->body_limit(m_settings.m_maxBody.Value());
    m_stream.expires_after(m_settings.m_idleTimeout);
    http::async_read(
      m_stream,
      m_buffer,
      *m_parser,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        self->OnRead(aError);
      });
  }

  void Write(HttpAnswerParts aAnswer)
  {
    m_response = ToBeast(std::move(aAnswer), m_keepAlive);
    m_stream.expires_after(m_settings.m_idleTimeout);
    http::async_write(
      m_stream,
      m_response,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        self->OnWritten(aError);
      });
  }

  void WriteCut(HttpAnswerParts aAnswer, std::size_t aBytes)
  {
    m_response = ToBeast(std::move(aAnswer), false);
    // The head keeps the content length of the full body.
    m_response.body().resize(std::min(aBytes, m_response.body().size()));
    m_keepAlive = false;
    m_stream.expires_after(m_settings.m_idleTimeout);
    http::async_write(m_stream,
                      m_response,
                      [self = shared_from_this()](
                        const error_code&, std::size_t) { self->Close(); });
  }

  void Close()
  {
    if (m_isClosed) {
      return;
    }
    m_isClosed = true;
    m_stream.close();
    if (const auto connections = m_openConnections.lock()) {
      connections->erase(shared_from_this());
    }
  }

  /// Calls aClosed if the peer closes the connection during this request.
  void WatchForClose(std::function<void()> aClosed)
  {
    m_onClosed = std::move(aClosed);
    m_stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(),
       request = m_requestNumber](const error_code& aError) {
        if (!self->m_isClosed && self->m_isRunning &&
            request == self->m_requestNumber) {
          self->OnReadable(aError);
        }
      });
  }

  const HttpRequestParts& Request() const { return m_request; }
  std::uint64_t RequestNumber() const { return m_requestNumber; }
  bool IsOpen(std::uint64_t aRequestNumber) const
  {
    return m_isRunning && !m_isClosed && aRequestNumber == m_requestNumber;
  }
  /// Marks the request as finished. Returns false if it was finished before or
  /// its connection is closed.
  bool TryFinish(std::uint64_t aRequestNumber)
  {
    const bool isOpen = IsOpen(aRequestNumber);
    if (isOpen) {
      m_isRunning = false;
      m_onClosed = nullptr;
    }
    return isOpen;
  }

private:
  class RequestExchange;

  void OnRead(const error_code& aError);

  void OnWritten(const error_code& aError)
  {
    if (aError || !m_keepAlive) {
      Close();
      return;
    }
    Read();
  }

  void OnReadable(const error_code& aError)
  {
    char byte = 0;
    error_code peekError = aError;
    if (!aError) {
      m_stream.socket().non_blocking(true, peekError);
      m_stream.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
    }
    if (!peekError) {
      return; // A pipelined request: it is read after this answer.
    }
    m_isRunning = false;
    const auto closed = std::move(m_onClosed);
    Close();
    if (closed) {
      closed();
    }
  }

  beast::tcp_stream m_stream;
  const FaultyServerSettings m_settings;
  const FaultyHttpServer::Handler m_handler;
  const std::weak_ptr<ConnectionSet> m_openConnections;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  http::response<http::string_body> m_response;
  HttpRequestParts m_request;
  std::function<void()> m_onClosed;
  std::uint64_t m_requestNumber = 0;
  bool m_keepAlive = false;
  bool m_isRunning = false;
  bool m_isClosed = false;
};

/// Exchange of one request, handed to the server's handler.
class Connection::RequestExchange final : public FaultyExchange
{
public:
  explicit RequestExchange(std::shared_ptr<Connection> aConnection)
    : m_connection(std::move(aConnection))
    , m_requestNumber(m_connection->RequestNumber())
    , m_request(m_connection->Request())
  {
  }

  const HttpRequestParts& Request() const override { return m_request; }
  void Answer(HttpAnswerParts aAnswer) override
  {
    if (m_connection->TryFinish(m_requestNumber)) {
      m_connection->Write(std::move(aAnswer));
    }
  }
  void AnswerCut(HttpAnswerParts aAnswer, std::size_t aBytes) override
  {
    if (m_connection->TryFinish(m_requestNumber)) {
      m_connection->WriteCut(std::move(aAnswer), aBytes);
    }
  }
  void Drop() override
  {
    if (m_connection->TryFinish(m_requestNumber)) {
      m_connection->Close();
    }
  }
  void OnClosed(std::function<void()> aClosed) override
  {
    m_connection->WatchForClose(std::move(aClosed));
  }
  bool IsOpen() const override { return m_connection->IsOpen(m_requestNumber); }

private:
  const std::shared_ptr<Connection> m_connection;
  const std::uint64_t m_requestNumber;
  const HttpRequestParts m_request;
};

void
Connection::OnRead(const error_code& aError)
{
  if (m_isClosed) {
    return;
  }
  const bool isClosed =
    aError &&
    (aError == http::error::end_of_stream || aError == beast::error::timeout ||
     aError.category() == boost::system::system_category());
  if (isClosed) {
    Close();
    return;
  }
  if (aError) {
    const bool isLarge =
      aError == http::error::body_limit || aError == http::error::header_limit;
    m_keepAlive = false;
    Write({ .m_status = static_cast<std::uint16_t>(isLarge ? 413 : 400),
            .m_headers = {},
            .m_body = R"({"error": "bad request"})" });
    return;
  }
  m_stream.expires_never();
  m_keepAlive = m_parser->keep_alive();
  m_request = FromBeast(m_parser->release());
  ++m_requestNumber;
  m_isRunning = true;
  m_handler(std::make_shared<RequestExchange>(shared_from_this()));
}

} // namespace

/// The listening socket and the open connections of a server.
class FaultyHttpServer::State : public std::enable_shared_from_this<State>
{
public:
  State(asio::io_context& aContext,
        FaultyServerSettings aSettings,
        Handler aHandler)
    : m_acceptor(aContext)
    , m_settings(aSettings)
    , m_handler(std::move(aHandler))
  {
  }

  error_code Open()
  {
    const tcp::endpoint endpoint(
      asio::ip::address_v4(m_settings.m_address.Ip()),
      m_settings.m_address.Port());
    error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
      m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      m_acceptor.bind(endpoint, error);
    }
    if (!error) {
      m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    return error;
  }

  NetworkAddress Address() const
  {
    error_code error;
    const auto endpoint = m_acceptor.local_endpoint(error);
    return { m_settings.m_address.Ip(),
             error ? m_settings.m_address.Port() : endpoint.port() };
  }

  void Accept()
  {
    m_acceptor.async_accept([self = shared_from_this()](
                              const error_code& aError, tcp::socket aSocket) {
      if (!aError) {
        self->Start(std::move(aSocket));
      }
      if (self->m_acceptor.is_open() &&
          aError != asio::error::operation_aborted) {
        self->Accept();
      }
    });
  }

  void StopListening()
  {
    error_code ignored;
    m_acceptor.close(ignored);
  }

  void CloseConnections()
  {
    const ConnectionSet connections = *m_connections;
    for (const auto& connection : connections) {
      connection->Close();
    }
  }

  std::size_t ConnectionCount() const { return m_connections->size(); }

private:
  void Start(tcp::socket aSocket)
  {
    if (m_connections->size() >= m_settings.m_maxConnections) {
      return; // The destructor of aSocket closes the connection.
    }
    error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    const auto connection = std::make_shared<Connection>(
      std::move(aSocket), m_settings, m_handler, m_connections);
    m_connections->insert(connection);
    connection->Read();
  }

  tcp::acceptor m_acceptor;
  const FaultyServerSettings m_settings;
  const Handler m_handler;
  const std::shared_ptr<ConnectionSet> m_connections =
    std::make_shared<ConnectionSet>();
};

FaultyHttpServer::FaultyHttpServer(std::shared_ptr<State> aState)
  : m_state(std::move(aState))
{
}

FaultyHttpServer::~FaultyHttpServer()
{
  m_state->StopListening();
  m_state->CloseConnections();
}

Result<std::unique_ptr<FaultyHttpServer>>
FaultyHttpServer::Listen(boost::asio::io_context& aContext,
                         FaultyServerSettings aSettings,
                         Handler aHandler)
{
  const std::string address = aSettings.m_address.ToString();
  auto state =
    std::make_shared<State>(aContext, aSettings, std::move(aHandler));
  if (const error_code error = state->Open()) {
    return Error(
      ErrorCode::Unreachable, "http.listen", address, error.message());
  }
  state->Accept();
  return std::unique_ptr<FaultyHttpServer>(
    new FaultyHttpServer(std::move(state)));
}

NetworkAddress
FaultyHttpServer::Address() const
{
  return m_state->Address();
}

void
FaultyHttpServer::StopListening()
{
  m_state->StopListening();
}

std::size_t
FaultyHttpServer::ConnectionCount() const
{
  return m_state->ConnectionCount();
}

} // namespace tarragontray
