/// \file
/// The kinds of calls that the load tool makes, and when it makes them.
///
/// A mix is a JSON list; "weight" is a kind's share of all calls:
///
///     [{"name": "buy", "account": "mesqel-gate", "class": "purchase",
///       "method": "POST", "target": "/box-office/buy", "weight": 1,
///       "idempotent": false, "body_bytes": 200, "answer_bytes": 1024,
///       "timeout_ms": 1000}]
///
/// Arrivals are a Poisson process drawn from a seed:
///
///     ArrivalSequence arrivals(mix, 500, 42);
///     Arrival next = arrivals.Next();
///
/// Thread safety: values; a sequence is for one thread.
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

/// One kind of call.
struct CallKind
{
  std::string m_name;
  ClientAccountId m_account;
  /// For the report; the node finds the class by the route.
  ClassName m_class;
  std::string m_method = "GET";
  std::string m_target;
  double m_weight = 1;
  bool m_isIdempotent = true;
  std::size_t m_bodyBytes = 0;
  std::size_t m_answerBytes = 256;
  Duration m_timeout{ std::chrono::seconds(1) };
};

/// Nothing when the text is not as documented.
std::optional<std::vector<CallKind>>
DecodeMix(std::string_view aText);

/// When one call is to be sent, counted from the start, and which kind it is.
struct Arrival
{
  Duration m_offset{ 0 };
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

  Arrival Next();

private:
  std::vector<double> m_cumulativeWeights;
  const double m_rate;
  SeededRandom m_random;
  Duration m_offset{ 0 };
};

} // namespace tarragontray
