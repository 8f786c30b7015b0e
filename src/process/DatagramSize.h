/// \file
/// Computes the encoded size of a datagram without encoding it, so that the
/// protocol logic can fill a datagram up to its size limit and stay independent
/// of the encoding.
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

/// The number of strings in one message that later occurrences can refer to
/// by index.
inline constexpr std::size_t kMaxSharedTexts = 120;

/// A sink for process/DatagramLayout.h that only counts bytes.
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

/// Tracks the encoded size of a datagram while items are added to it.
class DatagramSize
{
public:
  /// Starts with the current content of the datagram.
  explicit DatagramSize(const Datagram& aDatagram);

  std::size_t Bytes() const { return m_sink.Bytes(); }
  /// The size that the datagram would have with the item added.
  template<typename T>
  std::size_t With(const T& aItem) const
  {
    DatagramSize copy = *this;
    copy.Add(aItem);
    return copy.Bytes();
  }
  void Add(const MemberRecord& aRecord);
  void Add(const Document& aDocument);
  void Add(const DocumentPatch& aPatch);
  void Add(const MoveProgress& aProgress);

private:
  CountingSink m_sink;
};

/// The encoded size of a message in bytes.
std::size_t
EncodedSize(const Datagram& aDatagram);
std::size_t
EncodedSize(const PullRequest& aRequest);
std::size_t
EncodedSize(const PullAnswer& aAnswer);

} // namespace tarragontray
