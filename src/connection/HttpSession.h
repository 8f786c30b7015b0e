/// \file
/// One connection of an HTTP server: reads pipelined requests, serves them
/// concurrently and writes their answers in the order of the requests.
///
///     auto session = HttpSession::Create(std::move(socket), state);
///     co_await session->Run();
///
/// Thread safety: one thread, that of the socket's io_context.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "connection/HttpServer.h"

namespace tarragontray {

class HttpSession;

/// State shared by the sessions of one server, and the calls by which they
/// report what they hold. Closes the sessions that its CallerBudget names; that
/// may be the one that reports.
class HttpServerState
{
public:
  HttpServerState(const HttpServerSettings& aSettings, HttpHandler aHandler);
  ~HttpServerState();
  HttpServerState(const HttpServerState&) = delete;
  HttpServerState& operator=(const HttpServerState&) = delete;

  HttpServerSettings m_settings;
  HttpHandler m_handler;
  bool m_isLeaving = false;
  bool m_isDraining = false;
  HttpServerCounters m_counters;

  /// Accepts a connection, for which another one may be closed. \return its
  /// number, or nothing when too many are open.
  std::optional<CallerSession> Open();
  /// Precondition: Open returned aNumber. aSession is valid until Close.
  void Register(CallerSession aNumber, HttpSession& aSession);
  void Close(CallerSession aNumber);
  /// Sets what a session holds, and closes sessions over the budget.
  void Report(CallerSession aNumber, const CallerHolding& aHolding);
  /// As Report, but closes none.
  void Update(CallerSession aNumber, const CallerHolding& aHolding);
  /// Closes stalled sessions if a request doesn't fit otherwise. \return
  /// whether it fits.
  bool MakeRoom(CallerSession aFor, ByteCount aBytes, bool aHasBody);

  using LimitCounter = std::atomic<std::uint64_t> CallerLimitCounters::*;
  /// Counts an event and reports it to m_onLimited.
  void Count(LimitCounter aCounter);

private:
  CallerBudget m_budget;
  std::shared_ptr<CallerLimitCounters> m_limited;
  std::unordered_map<CallerSession, HttpSession*> m_open;
  CallerSession m_last;
  MonotonicTime m_nextNotice{};
};

/// See the file comment.
class HttpSession
{
public:
  static std::shared_ptr<HttpSession> Create(
    boost::asio::ip::tcp::socket aSocket,
    CallerSession aNumber,
    std::shared_ptr<HttpServerState> aState);

  virtual ~HttpSession() = default;

  /// Reads and serves requests until the session ends, and keeps it alive.
  virtual boost::asio::awaitable<void> Run() = 0;
  /// Starts no further request; one of which a byte has arrived is still
  /// served.
  virtual void Drain() = 0;
  /// Frees what the session holds: refuses the request that is being read, or
  /// closes the session if others wait or run.
  virtual void Evict() = 0;
  /// Closes the session at once.
  virtual void Abort() = 0;
};

} // namespace tarragontray
