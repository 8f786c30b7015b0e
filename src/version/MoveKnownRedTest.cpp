/// Seeds at which the policy is still wrong; KNOWN-RED.txt lists this program.
#include <criterion/criterion.h>

#include "version/SequentialMovePolicy.h"
#include "version/testing/MoveScenarios.h"

namespace tarragontray::testing {

Test(MoveKnownRed, ALoadPeakThatHurtsBothVersionsTakesNoneBack)
{
  constexpr std::uint64_t kSeed = 47;
  const ScenarioOutcome outcome =
    PlayScenario(ScenarioKind::LoadPeak, kSeed, [] {
      return SequentialMovePolicy::Create(SequentialSettings{}).value();
    });
  cr_assert(!outcome.m_isTakenBack, "%s", outcome.m_result.m_reason.c_str());
  cr_assert(outcome.m_isDoneInTime);
}

} // namespace tarragontray::testing
