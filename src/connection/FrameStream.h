/// \file
/// A TCP connection that carries framed messages.
///
///     auto stream = FrameStream::Create(std::move(socket), peer);
///     stream->Send(LinkPing{ 1 });
///     Result<PeerMessage> message = co_await stream->Receive();
///
/// Messages sent while a write is in progress are batched into the next write.
///
/// Thread safety: one thread, that of the socket's io_context.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/Result.h"
#include "connection/FrameCodec.h"

namespace tarragontray {

/// See the file comment.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
  /// \param aPeer name of the peer, for errors.
  /// Precondition: aSocket is connected.
  static std::shared_ptr<FrameStream> Create(
    boost::asio::ip::tcp::socket aSocket,
    std::string aPeer);

  /// Queues a message. Closes the stream when more than kMaxQueuedBytes are
  /// queued, as happens when the peer doesn't read. Does nothing on a closed
  /// stream.
  void Send(const PeerMessage& aMessage);

  /// Sets a listener that is called with true when a write starts and with
  /// false when nothing is left to write.
  /// \param aListener must not destroy the stream.
  void OnWriting(std::function<void(bool)> aListener)
  {
    m_onWriting = std::move(aListener);
  }

  /// Receives the next message. Errors: Closed, Malformed, TooLarge; each of
  /// them closes the stream. Precondition: no other Receive is in progress.
  boost::asio::awaitable<Result<PeerMessage>> Receive();

  /// Closes the connection; a Receive in progress fails with Closed.
  void Close();

  bool IsOpen() const { return m_socket.is_open(); }
  const std::string& Peer() const { return m_peer; }
  std::uint64_t BytesSent() const { return m_bytesSent; }
  /// Size of all messages passed to Send, whether written or not.
  std::uint64_t BytesQueued() const { return m_bytesQueued; }
  /// False when the message that ended at this offset of BytesQueued can't have
  /// been written to its end. On a closed stream, it never will be.
  bool MayHaveWritten(std::uint64_t aEnd) const
  {
    return aEnd <= m_bytesSent + m_batchBytesSent + kMaxWriteBytes;
  }
  /// Includes the part that has arrived of an incomplete message.
  std::uint64_t BytesReceived() const { return m_bytesReceived; }

  static constexpr std::size_t kMaxQueuedBytes = 16U << 20U;

private:
  FrameStream(boost::asio::ip::tcp::socket aSocket, std::string aPeer);

  /// Maximum size of one write to the socket. The last one may have been passed
  /// to the operating system before its completion is known here.
  static constexpr std::size_t kMaxWriteBytes = 64U << 10U;

  void StartWrite();
  void EndWrite();
  Error Fail(Error aError);
  boost::asio::awaitable<Result<std::size_t>> ReceiveLength();
  /// Completion condition of a read: complete when the buffer is full. Updates
  /// m_bytesReceived after each partial read; Asio doesn't call it after the
  /// last one.
  auto CountPartialReads();

  boost::asio::ip::tcp::socket m_socket;
  std::string m_peer;
  std::string m_queued;
  std::string m_writing;
  std::string m_payload;
  bool m_isWriting = false;
  std::function<void(bool)> m_onWriting;
  std::uint64_t m_bytesSent = 0;
  /// The part of m_writing that is known to be written.
  std::size_t m_batchBytesSent = 0;
  std::uint64_t m_bytesQueued = 0;
  std::uint64_t m_bytesReceived = 0;
};

} // namespace tarragontray
