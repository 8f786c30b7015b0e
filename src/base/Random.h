/// \file
/// Random number interface. Code takes a Random as a parameter, so that tests
/// can use a fixed seed.
///
///     SeededRandom random(42);
///     std::uint64_t pick = random.Below(candidates.size());
#pragma once

#include <cstdint>

namespace tarragontray {

/// A source of random numbers. Thread safety: one thread for each instance.
class Random
{
public:
  virtual ~Random() = default;
  /// Sixty-four random bits.
  virtual std::uint64_t Next() = 0;

  /// Nearly uniform in [0, aBound); the modulo bias is below aBound / 2^64.
  /// Precondition: aBound > 0.
  std::uint64_t Below(std::uint64_t aBound) { return Next() % aBound; }
  /// Uniform in [0, 1).
  double Fraction()
  {
    constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(Next() >> 11U) * kScale;
  }
};

/// SplitMix64 (Steele, Lea and Flood, 2014): a small, fast generator whose
/// sequence depends only on the seed. Not for cryptographic use.
class SeededRandom final : public Random
{
public:
  explicit SeededRandom(std::uint64_t aSeed)
    : m_state(aSeed)
  {
  }

  std::uint64_t Next() override
  {
    m_state += 0x9E3779B97F4A7C15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
    return mixed ^ (mixed >> 31U);
  }

private:
  std::uint64_t m_state;
};

} // namespace tarragontray
