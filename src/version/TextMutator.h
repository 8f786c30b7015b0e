/// \file
/// Mutates texts pseudo-randomly, for fuzz tests of decoders. Equal seeds give
/// equal mutations.
///
///     TextMutator mutator(kSeed);
///     std::string damaged = mutator.Mutate(text);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <string>

#include "base/Random.h"

namespace tarragontray {

/// Applies one to eight mutations to a text: it erases, inserts, replaces and
/// copies ranges, overwrites bytes and truncates the text.
class TextMutator
{
public:
  explicit TextMutator(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /// Thread safety: one thread.
  std::string Mutate(std::string aText);

private:
  void MutateOnce(std::string& aText);

  SeededRandom m_random;
};

} // namespace tarragontray
