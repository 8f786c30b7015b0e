#include "connection/FrameStream.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace tarragontray {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

} // namespace

std::shared_ptr<FrameStream>
FrameStream::Create(asio::ip::tcp::socket aSocket, std::string aPeer)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  return std::shared_ptr<FrameStream>(
    new FrameStream(std::move(aSocket), std::move(aPeer)));
}

FrameStream::FrameStream(asio::ip::tcp::socket aSocket, std::string aPeer)
  : m_socket(std::move(aSocket))
  , m_peer(std::move(aPeer))
{
}

void
FrameStream::Send(const PeerMessage& aMessage)
{
  if (!m_socket.is_open()) {
    return;
  }
  const std::size_t before = m_queued.size();
  AppendFrame(m_queued, aMessage);
  m_bytesQueued += m_queued.size() - before;
  if (m_queued.size() > kMaxQueuedBytes) {
    Close();
    return;
  }
  if (!m_isWriting) {
    m_isWriting = true;
    if (m_onWriting) {
      m_onWriting(true);
    }
    StartWrite();
  }
}

void
FrameStream::StartWrite()
{
  m_writing.clear();
  std::swap(m_writing, m_queued);
  m_batchBytesSent = 0;
  const auto countWrites =
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aSoFar) -> std::size_t {
    self->m_batchBytesSent = aSoFar;
    return aError ? 0
                  : std::min(self->m_writing.size() - aSoFar, kMaxWriteBytes);
  };
  asio::async_write(m_socket,
                    asio::buffer(m_writing),
                    countWrites,
                    [self = shared_from_this()](
                      const boost::system::error_code& aError, std::size_t) {
                      if (aError) {
                        self->Close();
                        self->EndWrite();
                        return;
                      }
                      self->m_bytesSent += self->m_writing.size();
                      self->m_batchBytesSent = 0;
                      if (self->m_queued.empty()) {
                        self->EndWrite();
                      } else {
                        self->StartWrite();
                      }
                    });
}

void
FrameStream::EndWrite()
{
  m_isWriting = false;
  if (m_onWriting) {
    m_onWriting(false);
  }
}

auto
FrameStream::CountPartialReads()
{
  return
    [this, untilFull = asio::transfer_all(), before = m_bytesReceived](
      const boost::system::error_code& aError, std::size_t aSoFar) mutable {
      m_bytesReceived = before + aSoFar;
      return untilFull(aError, aSoFar);
    };
}

asio::awaitable<Result<std::size_t>>
FrameStream::ReceiveLength()
{
  std::array<unsigned char, kFrameHeaderBytes> header{};
  const std::uint64_t before = m_bytesReceived;
  const auto [error, size] = co_await asio::async_read(
    m_socket, asio::buffer(header), CountPartialReads(), kAwait);
  m_bytesReceived = before + size;
  if (error) {
    co_return Error(ErrorCode::Closed, "link.read", m_peer, error.message());
  }
  co_return FrameLength(header, m_peer);
}

asio::awaitable<Result<PeerMessage>>
FrameStream::Receive()
{
  const auto self = shared_from_this();
  const Result<std::size_t> length = co_await ReceiveLength();
  if (!length) {
    co_return Fail(length.error());
  }
  m_payload.resize(length.value());
  const std::uint64_t before = m_bytesReceived;
  const auto [error, size] = co_await asio::async_read(
    m_socket, asio::buffer(m_payload), CountPartialReads(), kAwait);
  m_bytesReceived = before + size;
  if (error) {
    co_return Fail(
      Error(ErrorCode::Closed, "link.read", m_peer, error.message()));
  }
  Result<PeerMessage> message = DecodeMessage(m_payload, m_peer);
  if (!message) {
    co_return Fail(message.error());
  }
  co_return message;
}

Error
FrameStream::Fail(Error aError)
{
  Close();
  return aError;
}

void
FrameStream::Close()
{
  boost::system::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
}

} // namespace tarragontray
