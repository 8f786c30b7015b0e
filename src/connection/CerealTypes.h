/// \file
/// Compact binary encoding of the vocabulary types, on cereal's binary archive.
///
/// All messages between programs are encoded with these functions: integers as
/// varints (LEB128), strings and lists with a varint length prefix, durations
/// and wall-clock times as varint microseconds. All integers of a message
/// struct go through PutNumber/GetNumber, so that a small number takes one byte
/// of a datagram.
///
///     void Put(Writer& aWriter, const Thing& aThing);
///     void Get(Reader& aReader, Thing& aThing);
///
/// Errors: a Reader fails when it reaches the end of its input or reads a
/// length or value out of range, and returns zeros from then on; the caller
/// checks IsFailed() once at the end. Each length is checked against the number
/// of remaining bytes before memory is allocated for it.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <cereal/archives/binary.hpp>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/StrongType.h"
#include "base/Units.h"

namespace tarragontray {

/// A read-only stream buffer over bytes that the caller owns.
class ByteView final : public std::streambuf
{
public:
  explicit ByteView(std::string_view aBytes)
  {
    // setg needs a mutable pointer; the buffer is only read.
    char* begin = const_cast<char*>(aBytes.data());
    setg(begin, begin, begin + aBytes.size());
  }
  std::size_t Remaining() const
  {
    return static_cast<std::size_t>(egptr() - gptr());
  }
};

/// A stream buffer that appends to a string.
class ByteSink final : public std::streambuf
{
public:
  explicit ByteSink(std::string& aBytes)
    : m_bytes(aBytes)
  {
  }

protected:
  std::streamsize xsputn(const char* aData, std::streamsize aSize) override
  {
    m_bytes.append(aData, static_cast<std::size_t>(aSize));
    return aSize;
  }
  int_type overflow(int_type aByte) override
  {
    m_bytes.push_back(static_cast<char>(aByte));
    return aByte;
  }

private:
  std::string& m_bytes;
};

/// Appends encoded values to a string.
class Writer
{
public:
  explicit Writer(std::string& aBytes)
    : m_sink(aBytes)
    , m_stream(&m_sink)
    , m_archive(m_stream)
  {
  }

  void PutBytes(const char* aData, std::size_t aSize)
  {
    m_archive(cereal::binary_data(aData, aSize));
  }
  void PutNumber(std::uint64_t aNumber)
  {
    char buffer[10];
    std::size_t size = 0;
    while (aNumber >= 0x80) {
      buffer[size++] = static_cast<char>(aNumber | 0x80);
      aNumber >>= 7U;
    }
    buffer[size++] = static_cast<char>(aNumber);
    PutBytes(buffer, size);
  }
  void PutText(std::string_view aText)
  {
    PutNumber(aText.size());
    PutBytes(aText.data(), aText.size());
  }

private:
  ByteSink m_sink;
  std::ostream m_stream;
  cereal::BinaryOutputArchive m_archive;
};

/// Reads encoded values. Errors: see the file comment.
class Reader
{
public:
  explicit Reader(std::string_view aBytes)
    : m_view(aBytes)
    , m_stream(&m_view)
    , m_archive(m_stream)
  {
  }

  bool IsFailed() const { return m_failed; }
  void Fail() { m_failed = true; }
  std::size_t Remaining() const { return m_failed ? 0 : m_view.Remaining(); }
  /// True when the whole input was read without an error.
  bool IsFullyRead() const { return !m_failed && m_view.Remaining() == 0; }

  std::uint64_t GetNumber()
  {
    std::uint64_t number = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      std::uint8_t byte = 0;
      if (Remaining() == 0) {
        m_failed = true;
        return 0;
      }
      m_archive(cereal::binary_data(&byte, 1));
      number |= static_cast<std::uint64_t>(byte & 0x7FU) << shift;
      if ((byte & 0x80U) == 0) {
        return number;
      }
    }
    m_failed = true;
    return 0;
  }
  /// Reads a number of elements. Fails when it exceeds the number of remaining
  /// bytes: each element takes at least one byte.
  std::size_t GetCount()
  {
    const std::uint64_t count = GetNumber();
    if (count > Remaining()) {
      m_failed = true;
      return 0;
    }
    return static_cast<std::size_t>(count);
  }
  void GetText(std::string& aText)
  {
    const std::size_t size = GetCount();
    aText.resize(size);
    if (size > 0) {
      m_archive(cereal::binary_data(aText.data(), size));
    }
  }

private:
  ByteView m_view;
  std::istream m_stream;
  cereal::BinaryInputArchive m_archive;
  bool m_failed = false;
};

inline void
Put(Writer& aWriter, const std::string& aText)
{
  aWriter.PutText(aText);
}
inline void
Get(Reader& aReader, std::string& aText)
{
  aReader.GetText(aText);
}

template<typename T>
requires std::is_unsigned_v<T>
void
Put(Writer& aWriter, T aNumber)
{
  aWriter.PutNumber(aNumber);
}
template<typename T>
requires std::is_unsigned_v<T>
void
Get(Reader& aReader, T& aNumber)
{
  const std::uint64_t number = aReader.GetNumber();
  aNumber = static_cast<T>(number);
  if (aNumber != number) {
    aReader.Fail();
  }
}

/// Enumerations are encoded as numbers; GetEnum fails on a value above aLast.
template<typename T>
requires std::is_enum_v<T>
void
PutEnum(Writer& aWriter, T aValue)
{
  aWriter.PutNumber(static_cast<std::uint64_t>(aValue));
}
template<typename T>
requires std::is_enum_v<T>
void
GetEnum(Reader& aReader, T& aValue, T aLast)
{
  const std::uint64_t number = aReader.GetNumber();
  if (number > static_cast<std::uint64_t>(aLast)) {
    aReader.Fail();
    return;
  }
  aValue = static_cast<T>(number);
}

template<typename Tag>
void
Put(Writer& aWriter, const StringId<Tag>& aId)
{
  aWriter.PutText(aId.Value());
}
template<typename Tag>
void
Get(Reader& aReader, StringId<Tag>& aId)
{
  std::string text;
  aReader.GetText(text);
  aId = StringId<Tag>(std::move(text));
}

template<typename Tag, typename Rep>
void
Put(Writer& aWriter, Amount<Tag, Rep> aAmount)
{
  Put(aWriter, aAmount.Value());
}
template<typename Tag, typename Rep>
void
Get(Reader& aReader, Amount<Tag, Rep>& aAmount)
{
  Rep value{};
  Get(aReader, value);
  aAmount = Amount<Tag, Rep>(value);
}

inline void
Put(Writer& aWriter, Share aShare)
{
  aWriter.PutNumber(aShare.Parts());
}
inline void
Get(Reader& aReader, Share& aShare)
{
  std::uint32_t parts = 0;
  Get(aReader, parts);
  aShare = Share::FromParts(parts);
}

/// Durations are encoded in microseconds, negative ones as zero.
inline void
Put(Writer& aWriter, Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  aWriter.PutNumber(count > 0 ? static_cast<std::uint64_t>(count) : 0);
}
inline void
Get(Reader& aReader, Duration& aDuration)
{
  // Fits into 64-bit nanoseconds, and as a wall-clock time lies after the year
  // 2250.
  constexpr std::uint64_t kMaxMicroseconds = 1ULL << 53U;
  const std::uint64_t count = aReader.GetNumber();
  if (count > kMaxMicroseconds) {
    aReader.Fail();
    return;
  }
  aDuration = std::chrono::microseconds(count);
}

/// Wall-clock times are encoded in microseconds since the epoch.
inline void
Put(Writer& aWriter, WallTime aTime)
{
  Put(aWriter, aTime.time_since_epoch());
}
inline void
Get(Reader& aReader, WallTime& aTime)
{
  Duration sinceEpoch{ 0 };
  Get(aReader, sinceEpoch);
  aTime = WallTime(sinceEpoch);
}

inline void
Put(Writer& aWriter, const NetworkAddress& aAddress)
{
  aWriter.PutNumber(aAddress.Ip());
  aWriter.PutNumber(aAddress.Port());
}
inline void
Get(Reader& aReader, NetworkAddress& aAddress)
{
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  Get(aReader, ip);
  Get(aReader, port);
  aAddress = NetworkAddress(ip, port);
}

inline void
Put(Writer& aWriter, const ServiceId& aId)
{
  Put(aWriter, aId.m_owner);
  Put(aWriter, aId.m_name);
}
inline void
Get(Reader& aReader, ServiceId& aId)
{
  Get(aReader, aId.m_owner);
  Get(aReader, aId.m_name);
}

inline void
Put(Writer& aWriter, const MoveId& aId)
{
  Put(aWriter, aId.m_service);
  Put(aWriter, aId.m_plan);
}
inline void
Get(Reader& aReader, MoveId& aId)
{
  Get(aReader, aId.m_service);
  Get(aReader, aId.m_plan);
}

template<typename T>
void
Put(Writer& aWriter, const std::optional<T>& aValue)
{
  aWriter.PutNumber(aValue ? 1 : 0);
  if (aValue) {
    Put(aWriter, *aValue);
  }
}
template<typename T>
void
Get(Reader& aReader, std::optional<T>& aValue)
{
  if (aReader.GetNumber() != 0) {
    Get(aReader, aValue.emplace());
  }
}

template<typename T>
void
Put(Writer& aWriter, const std::vector<T>& aItems)
{
  aWriter.PutNumber(aItems.size());
  for (const T& item : aItems) {
    Put(aWriter, item);
  }
}
template<typename T>
void
Get(Reader& aReader, std::vector<T>& aItems)
{
  const std::size_t count = aReader.GetCount();
  aItems.clear();
  for (std::size_t i = 0; i < count && !aReader.IsFailed(); ++i) {
    Get(aReader, aItems.emplace_back());
  }
}

} // namespace tarragontray
