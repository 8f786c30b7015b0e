/// \file
/// Counts the bytes of a datagram without encoding it, so that decisions can
/// fill a datagram up to its bound.
///
///     DatagramSize size(datagram);
///     if (size.With(record) <= kMaxDatagramBytes) {
///       datagram.m_members.push_back(record);
///       size.Add(record);
///     }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "process/Datagram.h"
#include "process/Pull.h"

namespace tarragontray {

/// Texts that one message refers to by number after their first use.
inline constexpr std::size_t kMaxSharedTexts = 120;

/// A sink for process/DatagramLayout.h that only counts.
class CountingSink
{
public:
  void Number(std::uint64_t aNumber);
  void Text(const std::string& aText);
  void Shared(const std::string& aText);
  std::size_t Bytes() const { return m_bytes; }

private:
  std::size_t m_bytes = 0;
  std::vector<std::string> m_shared;
};

/// The encoded size of a datagram that is being filled.
class DatagramSize
{
public:
  /// Counts all that is in the datagram already.
  explicit DatagramSize(const Datagram& aDatagram);

  std::size_t Bytes() const { return m_sink.Bytes(); }
  /// The size once the item is in, too.
  template<typename T>
  std::size_t With(const T& aItem) const
  {
    DatagramSize copy = *this;
    copy.Add(aItem);
    return copy.Bytes();
  }
  void Add(const MemberRecord& aRecord);
  void Add(const Document& aDocument);
  void Add(const MoveProgress& aProgress);

private:
  CountingSink m_sink;
};

/// The encoded size of one message.
std::size_t
EncodedSize(const Datagram& aDatagram);
std::size_t
EncodedSize(const PullRequest& aRequest);
std::size_t
EncodedSize(const PullAnswer& aAnswer);

} // namespace tarragontray
