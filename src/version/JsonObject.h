/// \file
/// Reads the fields of one JSON object; for the decoders of this folder.
///
///     JsonObject object(value, "template", errors);
///     std::string name = object.Text("name");
///     object.Finish(); // refuses the fields that nobody read
///
/// The first fault is kept in FieldErrors with its path; the values given
/// after a fault must not be used.
///
/// Thread safety: one thread for each instance.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Result.h"
#include "version/FieldRules.h"
#include "version/Template.h"

namespace boost::json {
class object;
class value;
} // namespace boost::json

namespace tarragontray {

/// Parses JSON with comments. Errors: TooLarge, Malformed, with aStep.
/// The value goes to aUse, which gives the decoder's own result.
std::optional<Error>
ParseJson(std::string_view aText,
          std::size_t aMaxBytes,
          std::string_view aStep,
          const std::function<void(const boost::json::value&)>& aUse);

/// One object. Preconditions: the value outlives the instance.
class JsonObject
{
public:
  JsonObject(const boost::json::value& aValue,
             std::string aPath,
             FieldErrors& aErrors);

  /// The path of a field.
  std::string Path(std::string_view aName) const;
  /// The field, or null when it is not there.
  const boost::json::value* Find(std::string_view aName);
  /// The field; an error when it is not there.
  const boost::json::value* Require(std::string_view aName);

  std::string Text(std::string_view aName);
  /// A whole number from 0.
  std::uint64_t Number(std::string_view aName);
  /// A time as in base/TimeText.h.
  WallTime Time(std::string_view aName);
  /// A whole number of milliseconds.
  Duration Milliseconds(std::string_view aName);
  std::optional<ParameterValue> Scalar(std::string_view aName);
  /// Calls aEach with each element of a list and its path; an absent list is
  /// an empty one.
  void Each(std::string_view aName,
            const std::function<void(const boost::json::value&,
                                     const std::string&)>& aEach);
  /// Calls aEach with each name and value of an object of scalars.
  void ForEachScalar(
    std::string_view aName,
    const std::function<void(std::string, ParameterValue)>& aEach);

  /// A literal or a parameter's name; aDefault when it is absent, or an error
  /// without a default.
  template<typename T>
  Field<T> ReadField(std::string_view aName,
                     std::optional<T> aDefault = std::nullopt)
  {
    const boost::json::value* value = aDefault ? Find(aName) : Require(aName);
    if (!value) {
      return aDefault.value_or(T{});
    }
    if (std::optional<ParameterName> name = ParameterOf(*value, aName)) {
      return std::move(*name);
    }
    T literal{};
    ReadLiteral(*value, aName, literal);
    return literal;
  }

  /// Refuses the fields that were not read.
  void Finish();

private:
  std::optional<ParameterName> ParameterOf(const boost::json::value& aValue,
                                           std::string_view aName);
  std::int64_t WholeNumber(const boost::json::value& aValue,
                           std::string_view aName,
                           NumberRange aRange);
  void ReadLiteral(const boost::json::value&, std::string_view, bool&);
  void ReadLiteral(const boost::json::value&, std::string_view, std::uint8_t&);
  void ReadLiteral(const boost::json::value&, std::string_view, std::uint32_t&);
  void ReadLiteral(const boost::json::value&, std::string_view, Share&);
  void ReadLiteral(const boost::json::value&, std::string_view, Duration&);
  void ReadLiteral(const boost::json::value&, std::string_view, std::string&);
  template<typename Tag>
  void ReadLiteral(const boost::json::value& aValue,
                   std::string_view aName,
                   StringId<Tag>& aId)
  {
    std::string text;
    ReadLiteral(aValue, aName, text);
    aId = StringId<Tag>(std::move(text));
  }

  const boost::json::object* m_object = nullptr;
  std::string m_path;
  FieldErrors& m_errors;
  std::vector<std::string> m_read;
};

} // namespace tarragontray
