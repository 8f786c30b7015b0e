/// \file
/// Damages texts by a seed; for fuzz tests of decoders.
///
///     TextMutator mutator(kSeed);
///     std::string damaged = mutator.Mutate(text);
///
/// Thread safety: one thread for each instance.
#pragma once

#include <string>

#include "base/Random.h"

namespace tarragontray {

/// Changes one to eight places of a text: bytes, pieces of JSON, lengths.
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
