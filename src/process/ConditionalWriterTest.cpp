#include "process/ConditionalWriter.h"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace tarragontray {

namespace {

const ObjectKey kKey{ "configurations/mesqel-gate" };
const OperationId kOwn{ "own" };

/// The fault to inject into one platform call.
enum class Fault
{
  None,
  /// The answer is lost; a write takes effect nevertheless.
  AnswerLost,
  /// The request is lost after the connection was established.
  CallLost,
  /// A write takes effect only after the next call, and its answer is lost.
  Late,
  NoConnection,
  Unavailable,
  /// Another writer's write takes effect first.
  OtherFirst,
  /// A read returns the first version of the object.
  StaleRead,
};

/// A platform with one object in memory that injects one fault per call.
class FakePlatform final : public Platform
{
public:
  explicit FakePlatform(std::vector<Fault> aFaults)
    : m_faults(aFaults.begin(), aFaults.end())
  {
    Put("first", OperationId{ "first" });
  }

  void Read(ObjectKey, Callback<PlatformObject> aDone) override
  {
    const Fault fault = Next();
    if (std::optional<Error> error = ErrorOf(fault)) {
      aDone(std::move(*error));
    } else {
      aDone(fault == Fault::StaleRead ? m_history.front() : m_history.back());
    }
    ApplyLate();
  }

  void Write(PlatformWrite aWrite, Callback<Revision> aDone) override
  {
    const Fault fault = Next();
    if (fault == Fault::OtherFirst) {
      Put("other's", OperationId{ "other" });
    }
    if (fault == Fault::Late) {
      m_late = aWrite;
    }
    Result<Revision> result =
      fault == Fault::CallLost || fault == Fault::Late ||
          fault == Fault::NoConnection || fault == Fault::Unavailable
        ? Result<Revision>(Revision{ 0 })
        : TryPut(aWrite);
    if (std::optional<Error> error = ErrorOf(fault)) {
      result = std::move(*error);
    }
    aDone(result);
    if (fault != Fault::Late) {
      ApplyLate();
    }
  }

  void List(std::string, Callback<PlatformListing>) override {}
  void ReadRevision(Callback<Revision> /*aDone*/) override {}
  void DropWatches() override {}
  ByteCount WatchedBytes() const override { return {}; }
  void Watch(std::string,
             Revision,
             Duration,
             Callback<PlatformListing>) override
  {
  }

  Revision Last() const { return m_history.back().m_document.m_revision; }
  std::size_t Effects() const
  {
    return static_cast<std::size_t>(
      std::count_if(m_history.begin(), m_history.end(), [](const auto& aEntry) {
        return aEntry.m_operation == kOwn;
      }));
  }
  bool IsOwnLast() const { return m_history.back().m_operation == kOwn; }
  std::size_t Calls() const { return m_calls; }

private:
  Fault Next()
  {
    ++m_calls;
    if (m_faults.empty()) {
      return Fault::None;
    }
    const Fault fault = m_faults.front();
    m_faults.pop_front();
    return fault;
  }

  static std::optional<Error> ErrorOf(Fault aFault)
  {
    switch (aFault) {
      case Fault::AnswerLost:
      case Fault::CallLost:
      case Fault::Late:
        return Error(ErrorCode::Timeout, "platform", "", "no answer");
      case Fault::NoConnection:
        return Error(ErrorCode::Unreachable, "platform", "", "refused");
      case Fault::Unavailable:
        return Error(ErrorCode::Unavailable, "platform", "", "503");
      default:
        return std::nullopt;
    }
  }

  Result<Revision> TryPut(const PlatformWrite& aWrite)
  {
    if (aWrite.m_expected != Last()) {
      return Error(ErrorCode::Conflict, "platform.write", "", "");
    }
    Put(aWrite.m_body, aWrite.m_operation);
    return Last();
  }

  void Put(const std::string& aBody, const OperationId& aOperation)
  {
    m_revision += Revision{ 1 };
    m_history.push_back({ { kKey, m_revision, aBody }, aOperation });
  }

  void ApplyLate()
  {
    if (m_late) {
      (void)TryPut(*m_late);
      m_late.reset();
    }
  }

  std::deque<Fault> m_faults;
  std::vector<PlatformObject> m_history;
  Revision m_revision{ 40 };
  std::optional<PlatformWrite> m_late;
  std::size_t m_calls = 0;
};

/// A timer whose tasks run when the test calls RunAll().
class ManualTimer final : public Timer
{
public:
  void After(Duration aDelay, std::function<void()> aTask) override
  {
    m_longest = std::max(m_longest, aDelay);
    m_tasks.push_back(std::move(aTask));
  }

  void RunAll()
  {
    while (!m_tasks.empty()) {
      const std::function<void()> task = std::move(m_tasks.front());
      m_tasks.pop_front();
      task();
    }
  }

  Duration Longest() const { return m_longest; }

private:
  std::deque<std::function<void()>> m_tasks;
  Duration m_longest{ 0 };
};

/// Runs one conditional write on a platform that injects the given faults.
class Session
{
public:
  explicit Session(const std::vector<Fault>& aFaults)
    : m_platform(aFaults)
  {
    ConditionalWriter writer(m_platform, m_timer, m_random);
    writer.Write({ kKey, "own", m_platform.Last(), kOwn },
                 [this](const WriteReport& aReport) {
                   ++m_ends;
                   m_report = aReport;
                 });
    m_timer.RunAll();
  }

  FakePlatform m_platform;
  ManualTimer m_timer;
  SeededRandom m_random{ 7 };
  WriteReport m_report;
  int m_ends = 0;
};

} // namespace

Test(ConditionalWriter, WritesWithOneCallWithoutFaults)
{
  const Session session({});
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::Written);
  cr_assert(session.m_report.m_revision == session.m_platform.Last());
  cr_assert(session.m_platform.Calls() == 1);
}

Test(ConditionalWriter, RecognisesItsOwnWriteAfterALostAnswer)
{
  const Session session({ Fault::AnswerLost });
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::Written);
  cr_assert(session.m_report.m_revision == session.m_platform.Last());
  cr_assert(session.m_platform.Effects() == 1);
}

Test(ConditionalWriter, RetriesAWriteThatNeverArrived)
{
  const Session session({ Fault::CallLost });
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::Written);
  cr_assert(session.m_platform.Effects() == 1);
}

Test(ConditionalWriter, ALateWriteDoesNotTakeEffectTwice)
{
  const Session session({ Fault::Late, Fault::None });
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::Written);
  cr_assert(session.m_platform.Effects() == 1);
}

Test(ConditionalWriter, ReportsALostRaceWithTheWinnersObject)
{
  const Session session({ Fault::OtherFirst });
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::LostRace);
  cr_assert(session.m_report.m_current->m_document.m_body == "other's");
  cr_assert(!session.m_report.m_mayHaveBeenReplaced);
  cr_assert(session.m_platform.Effects() == 0);
}

Test(ConditionalWriter, ReportsThatItsWriteMayHaveBeenReplaced)
{
  const Session session({ Fault::CallLost, Fault::None, Fault::OtherFirst });
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::LostRace);
  cr_assert(session.m_report.m_mayHaveBeenReplaced);
}

Test(ConditionalWriter, DoesNotReportAStaleReadAsTheWinnersObject)
{
  const Session session({ Fault::OtherFirst, Fault::StaleRead });
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::LostRace);
  cr_assert(session.m_report.m_current->m_document.m_body == "other's");
}

Test(ConditionalWriter, ToleratesAStaleReadAfterALostAnswer)
{
  const Session session({ Fault::AnswerLost, Fault::StaleRead });
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::Written);
  cr_assert(session.m_platform.Effects() == 1);
}

Test(ConditionalWriter, ReportsFailedWhenNoConnectionWasMade)
{
  const Session session(std::vector<Fault>(50, Fault::NoConnection));
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::Failed);
  cr_assert(session.m_report.m_error->Code() == ErrorCode::Unreachable);
  cr_assert(session.m_platform.Calls() == WriterSettings{}.m_maxCalls);
}

Test(ConditionalWriter, ReportsUnknownWhenItCannotReadBack)
{
  std::vector<Fault> faults(50, Fault::NoConnection);
  faults[0] = Fault::AnswerLost;
  const Session session(faults);
  cr_assert(session.m_report.m_status == ConditionalWriteStatus::Unknown);
  cr_assert(session.m_platform.Effects() == 1);
}

Test(ConditionalWriter, RetryDelayStaysWithinItsLimit)
{
  const Session session(std::vector<Fault>(50, Fault::Unavailable));
  cr_assert(session.m_timer.Longest() > Duration(0));
  cr_assert(session.m_timer.Longest() <= WriterSettings{}.m_longestDelay);
}

// Under any sequence of faults the write takes effect at most once, and the
// reported outcome is correct.
Test(ConditionalWriter, ReportsTheCorrectOutcomeUnderAnyFaults)
{
  const bool holds = rc::check([] {
    const auto faults = *rc::gen::container<std::vector<Fault>>(
      rc::gen::element(Fault::None,
                       Fault::AnswerLost,
                       Fault::CallLost,
                       Fault::Late,
                       Fault::NoConnection,
                       Fault::Unavailable,
                       Fault::OtherFirst,
                       Fault::StaleRead));
    const Session session(faults);
    const WriteReport& report = session.m_report;
    RC_ASSERT(session.m_ends == 1);
    RC_ASSERT(session.m_platform.Effects() <= 1U);
    RC_ASSERT(session.m_platform.Calls() <= WriterSettings{}.m_maxCalls);
    switch (report.m_status) {
      case ConditionalWriteStatus::Written:
        RC_ASSERT(session.m_platform.Effects() == 1U);
        break;
      case ConditionalWriteStatus::LostRace:
        RC_ASSERT(!session.m_platform.IsOwnLast());
        RC_ASSERT(report.m_mayHaveBeenReplaced ||
                  session.m_platform.Effects() == 0U);
        break;
      case ConditionalWriteStatus::Failed:
        RC_ASSERT(session.m_platform.Effects() == 0U);
        break;
      case ConditionalWriteStatus::Unknown:
        break;
    }
  });
  cr_assert(holds);
}

} // namespace tarragontray
