/// \file
/// The kinds of calls that the load generator sends, and their arrival times.
///
/// A mix is a JSON list; "weight" is a kind's share of all calls, relative to
/// the sum of the weights:
///
///     [{"name": "buy", "account": "mesqel-gate", "class": "purchase",
///       "method": "POST", "target": "/box-office/buy", "weight": 1,
///       "idempotent": false, "body_bytes": 200, "answer_bytes": 1024,
///       "timeout_ms": 1000}]
///
/// Arrivals are a Poisson process that depends only on the mix, the rate and
/// the seed:
///
///     ArrivalSequence arrivals(mix, 500, 42);
///     Arrival next = arrivals.Next();
///
/// Thread safety: CallKind and Arrival are values; an ArrivalSequence belongs
/// to one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Ids.h"
#include "base/Random.h"
#include "base/Units.h"

namespace tarragontray {

/// One kind of call, with the defaults for fields that the mix omits.
struct CallKind
{
  std::string m_name;
  ClientAccountId m_account;
  /// Used in the report only; the node derives the class from the route.
  ClassName m_class;
  std::string m_method = "GET";
  /// Path and query; starts with '/'.
  std::string m_target;
  double m_weight = 1;
  bool m_isIdempotent = true;
  std::size_t m_bodyBytes = 0;
  /// Size of the filler that the upstream is asked to respond with.
  std::size_t m_answerBytes = 256;
  Duration m_timeout{ std::chrono::seconds(1) };
};

/// Returns nullopt if the text is not a valid mix.
std::optional<std::vector<CallKind>>
DecodeMix(std::string_view aText);

/// The intended send time and the kind of one call.
struct Arrival
{
  /// Since the start of the run.
  Duration m_offset{ 0 };
  /// Index in the mix.
  std::size_t m_kind = 0;
};

/// See the file comment.
class ArrivalSequence
{
public:
  /// Preconditions: aMix is not empty and has a weight above 0; aRate > 0.
  /// \param aRate calls per second.
  ArrivalSequence(const std::vector<CallKind>& aMix,
                  double aRate,
                  std::uint64_t aSeed);

  /// Draws the next arrival; offsets never decrease.
  Arrival Next();

private:
  std::vector<double> m_cumulativeWeights;
  const double m_rate;
  SeededRandom m_random;
  Duration m_offset{ 0 };
};

} // namespace tarragontray
