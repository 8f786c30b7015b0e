#include "programs/AnswerBody.h"

#include <charconv>

#include "base/Hash.h"

namespace tarragontray {

namespace {

/// Removes "name=value" and the delimiter aEnd from the front of aText and
/// returns the value. Returns nullopt, with aText unchanged, if aText does not
/// start with such a field.
std::optional<std::string_view>
TakeField(std::string_view& aText, std::string_view aName, char aEnd)
{
  const std::size_t end = aText.find(aEnd);
  const bool isNamed = end != std::string_view::npos &&
                       aText.starts_with(aName) && aName.size() < end &&
                       aText[aName.size()] == '=';
  if (!isNamed) {
    return std::nullopt;
  }
  const auto value = aText.substr(aName.size() + 1, end - aName.size() - 1);
  aText.remove_prefix(end + 1);
  return value;
}

/// TakeField for a decimal number.
std::optional<std::uint64_t>
TakeNumber(std::string_view& aText, std::string_view aName, char aEnd)
{
  const auto field = TakeField(aText, aName, aEnd);
  std::uint64_t number = 0;
  if (!field) {
    return std::nullopt;
  }
  const char* end = field->data() + field->size();
  const auto [next, error] = std::from_chars(field->data(), end, number);
  return error == std::errc() && next == end ? std::optional(number)
                                             : std::nullopt;
}

/// Repeats the operation id up to aBytes, so that the fillers of different
/// operations differ.
std::string
Filler(const OperationId& aOperation, std::size_t aBytes)
{
  const std::string& seed = aOperation.Value();
  std::string filler(aBytes, '.');
  for (std::size_t i = 0; i < aBytes && !seed.empty(); ++i) {
    filler[i] = seed[i % seed.size()];
  }
  return filler;
}

} // namespace

std::string
MakeAnswerBody(const AnswerIdentity& aIdentity, std::size_t aFillerBytes)
{
  const std::string filler = Filler(aIdentity.m_operation, aFillerBytes);
  return "operation=" + aIdentity.m_operation.Value() +
         " version=" + aIdentity.m_version.Value() +
         " vm=" + aIdentity.m_vm.Value() +
         " request=" + std::to_string(aIdentity.m_requestHash) +
         " size=" + std::to_string(filler.size()) +
         " checksum=" + std::to_string(StableHash(filler)) + "\n" + filler;
}

std::optional<AnswerIdentity>
ReadAnswerBody(std::string_view aBody)
{
  std::string_view rest = aBody;
  const auto operation = TakeField(rest, "operation", ' ');
  const auto version = TakeField(rest, "version", ' ');
  const auto vm = TakeField(rest, "vm", ' ');
  const auto request = TakeNumber(rest, "request", ' ');
  const auto size = TakeNumber(rest, "size", ' ');
  const auto checksum = TakeNumber(rest, "checksum", '\n');
  const bool isIntact = operation && version && vm && request && size &&
                        checksum && rest.size() == *size &&
                        StableHash(rest) == *checksum;
  if (!isIntact) {
    return std::nullopt;
  }
  return AnswerIdentity{ OperationId(std::string(*operation)),
                         UpstreamVersion(std::string(*version)),
                         VmId(std::string(*vm)),
                         *request };
}

} // namespace tarragontray
