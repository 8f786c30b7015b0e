#include "programs/testing/ClientGroup.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace tarragontray {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

} // namespace

ClientGroup::ClientGroup(const NetworkAddress& aAddress,
                         const ClientBehaviour& aBehaviour,
                         std::size_t aSize)
  : m_behaviour(aBehaviour)
  , m_endpoint(asio::ip::address_v4(aAddress.Ip()), aAddress.Port())
{
  for (std::size_t i = 0; i < aSize; ++i) {
    m_sockets.emplace_back(m_context);
  }
}

void
ClientGroup::Run(Duration aLimit)
{
  m_sending = m_sockets.size();
  for (tcp::socket& socket : m_sockets) {
    asio::co_spawn(m_context, Send(socket), asio::detached);
  }
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (m_sending > 0 && std::chrono::steady_clock::now() < end) {
    m_context.run_one_until(end);
  }
}

asio::awaitable<void>
ClientGroup::Send(tcp::socket& aSocket)
{
  asio::steady_timer pause(m_context);
  auto [error] = co_await aSocket.async_connect(m_endpoint, kAwait);
  if (!error) {
    const auto [failed, size] = co_await asio::async_write(
      aSocket, asio::buffer(m_behaviour.m_begin), kAwait);
    error = failed;
  }
  for (std::size_t i = 0; i < m_behaviour.m_repeats && !error; ++i) {
    if (m_behaviour.m_pause > Duration::zero()) {
      pause.expires_after(m_behaviour.m_pause);
      co_await pause.async_wait(kAwait);
    }
    const auto [failed, size] = co_await asio::async_write(
      aSocket, asio::buffer(m_behaviour.m_piece), kAwait);
    error = failed;
  }
  --m_sending;
}

} // namespace tarragontray
