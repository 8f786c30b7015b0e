/// \file
/// Reads the fields of a JSON object, for the decoders in this folder.
///
///     JsonObject object(value, "template", errors);
///     std::string name = object.Text("name");
///     object.Finish(); // rejects the fields that were not read
///
/// FieldErrors keeps the first error with its path. After an error, the
/// returned values must not be used.
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

/// Parses JSON text, which may contain comments, and passes the value to aUse.
/// Returns an error of aStep if the text is invalid. Errors: TooLarge,
/// Malformed. Thread safety: any thread.
std::optional<Error>
ParseJson(std::string_view aText,
          std::size_t aMaxBytes,
          std::string_view aStep,
          const std::function<void(const boost::json::value&)>& aUse);

/// A reader of one JSON object. Precondition: the value and the FieldErrors
/// outlive the reader.
class JsonObject
{
public:
  JsonObject(const boost::json::value& aValue,
             std::string aPath,
             FieldErrors& aErrors);

  /// The path of a field, for error details.
  std::string Path(std::string_view aName) const;
  /// The field, or null when it is absent.
  const boost::json::value* Find(std::string_view aName);
  /// The field. Adds an error and returns null when it is absent.
  const boost::json::value* Require(std::string_view aName);

  /// A required string.
  std::string Text(std::string_view aName);
  /// A required integer that is not negative.
  std::uint64_t Number(std::string_view aName);
  /// A required time in the format of base/TimeText.h.
  WallTime Time(std::string_view aName);
  /// A required duration in whole milliseconds.
  Duration Milliseconds(std::string_view aName);
  /// An optional number, string or boolean.
  std::optional<ParameterValue> Scalar(std::string_view aName);
  /// Calls aEach with each element of a list and its path. An absent list
  /// counts as empty.
  void ForEach(std::string_view aName,
               const std::function<void(const boost::json::value&,
                                        const std::string&)>& aEach);
  /// Calls aEach with each name and value of an object of scalars. An absent
  /// object counts as empty.
  void ForEachScalar(
    std::string_view aName,
    const std::function<void(std::string, ParameterValue)>& aEach);

  /// A literal, or the parameter that {"parameter": NAME} names. When the field
  /// is absent, returns aDefault or, without a default, adds an error.
  template<typename T>
  Field<T> ReadField(std::string_view aName,
                     std::optional<T> aDefault = std::nullopt)
  {
    const boost::json::value* value = aDefault ? Find(aName) : Require(aName);
    if (!value) {
      return aDefault.value_or(T{});
    }
    if (std::optional<ParameterName> name =
          ReadParameterReference(*value, aName)) {
      return std::move(*name);
    }
    T literal{};
    ReadLiteral(*value, aName, literal);
    return literal;
  }

  /// Adds an error if the object has a field that was not read.
  void Finish();

private:
  std::optional<ParameterName> ReadParameterReference(
    const boost::json::value& aValue,
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
  std::vector<std::string> m_readFields;
};

} // namespace tarragontray
