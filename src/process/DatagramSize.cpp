#include "process/DatagramSize.h"

#include <algorithm>

#include "process/DatagramLayout.h"

namespace tarragontray {

namespace {

template<typename T>
std::size_t
SizeOf(const T& aMessage)
{
  CountingSink sink;
  sink.Number(kDatagramFormat);
  Layout(sink, aMessage);
  return sink.Bytes();
}

} // namespace

void
CountingSink::Number(std::uint64_t aNumber)
{
  ++m_bytes;
  while (aNumber >= 0x80) {
    ++m_bytes;
    aNumber >>= 7U;
  }
}

void
CountingSink::Text(const std::string& aText)
{
  Number(aText.size());
  m_bytes += aText.size();
}

void
CountingSink::Shared(const std::string& aText)
{
  const auto found = std::find(m_shared.begin(), m_shared.end(), aText);
  if (found != m_shared.end()) {
    Number(static_cast<std::uint64_t>(found - m_shared.begin()) + 1);
    return;
  }
  Number(0);
  Text(aText);
  if (m_shared.size() < kMaxSharedTexts) {
    m_shared.push_back(aText);
  }
}

DatagramSize::DatagramSize(const Datagram& aDatagram)
{
  m_sink.Number(kDatagramFormat);
  Layout(m_sink, aDatagram);
}

void
DatagramSize::Add(const MemberRecord& aRecord)
{
  Layout(m_sink, aRecord);
}

void
DatagramSize::Add(const Document& aDocument)
{
  Layout(m_sink, aDocument);
}

void
DatagramSize::Add(const DocumentPatch& aPatch)
{
  Layout(m_sink, aPatch);
}

void
DatagramSize::Add(const MoveProgress& aProgress)
{
  Layout(m_sink, aProgress);
}

std::size_t
EncodedSize(const Datagram& aDatagram)
{
  return SizeOf(aDatagram);
}

std::size_t
EncodedSize(const PullRequest& aRequest)
{
  return SizeOf(aRequest);
}

std::size_t
EncodedSize(const PullAnswer& aAnswer)
{
  return SizeOf(aAnswer);
}

} // namespace tarragontray
