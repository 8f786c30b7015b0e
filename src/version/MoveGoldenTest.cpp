/// Compares the logs of complete simulated moves with golden files. After an
/// intended change, set TT_RECORD_GOLDEN=1 to record the files again.
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

#include "version/SequentialMovePolicy.h"
#include "version/testing/MoveSession.h"

namespace tarragontray::testing {

namespace {

using namespace std::chrono_literals;

std::string
RecordLog(const SessionSettings& aSettings)
{
  const auto makePolicy = [] {
    return SequentialMovePolicy::Create(SequentialSettings{}).value();
  };
  std::string text;
  for (const std::string& line :
       MoveSession(aSettings, makePolicy).Run().m_log) {
    text += line + "\n";
  }
  return text;
}

void
AssertGolden(const std::string& aName, const std::string& aText)
{
  const std::string path =
    std::string(std::getenv("TT_GOLDEN_DIR")) + "/" + aName;
  if (std::getenv("TT_RECORD_GOLDEN") != nullptr) {
    std::ofstream(path) << aText;
  }
  std::ifstream file(path);
  cr_assert(file.good(), "cannot read golden file %s", path.c_str());
  const std::string golden{ std::istreambuf_iterator<char>(file), {} };
  cr_assert(golden == aText,
            "the log differs from the golden file:\n%s",
            aText.c_str());
}

} // namespace

Test(MoveGolden, GoodVersion)
{
  AssertGolden("good-move.txt", RecordLog(SessionSettings{}));
}

Test(MoveGolden, RollbackDuringHoldTime)
{
  SessionSettings settings;
  ModelFault fault;
  fault.m_side = VersionSide::New;
  fault.m_failureRate = 0.2;
  fault.m_route = 1;
  fault.m_begin = 105s;
  settings.m_model.m_faults.push_back(fault);
  AssertGolden("move-taken-back.txt", RecordLog(settings));
}

} // namespace tarragontray::testing
