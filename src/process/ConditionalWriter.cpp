#include "process/ConditionalWriter.h"

#include <algorithm>
#include <utility>

namespace tarragontray {

namespace {

/// Whether an error proves that the write did not take effect.
bool
IsCertainlyNotWritten(ErrorCode aCode)
{
  return aCode == ErrorCode::Unreachable || aCode == ErrorCode::TooLarge ||
         aCode == ErrorCode::InvalidArgument;
}

/// Whether a repeated call may end otherwise.
bool
IsTransient(ErrorCode aCode)
{
  return aCode != ErrorCode::TooLarge && aCode != ErrorCode::InvalidArgument;
}

} // namespace

/// One write with its repetitions; its callbacks keep it alive.
class ConditionalWriter::Operation
  : public std::enable_shared_from_this<ConditionalWriter::Operation>
{
public:
  Operation(const ConditionalWriter& aWriter,
            PlatformWrite aWrite,
            Callback aDone)
    : m_writer(aWriter)
    , m_write(std::move(aWrite))
    , m_done(std::move(aDone))
    , m_delay(aWriter.m_settings.m_firstDelay)
  {
  }

  void Write()
  {
    ++m_calls;
    m_writer.m_platform.Write(
      m_write, [self = shared_from_this()](const Result<Revision>& aRevision) {
        self->OnWritten(aRevision);
      });
  }

private:
  void OnWritten(const Result<Revision>& aRevision)
  {
    if (aRevision) {
      FinishWritten(aRevision.value());
      return;
    }
    const Error& error = aRevision.error();
    if (error.Code() == ErrorCode::Conflict) {
      m_hasConflict = true;
      IsExhausted() ? FinishExhausted(error) : Read();
      return;
    }
    m_hasLostAnswer = m_hasLostAnswer || !IsCertainlyNotWritten(error.Code());
    if (!IsTransient(error.Code())) {
      FinishFailed(error);
      return;
    }
    if (IsCertainlyNotWritten(error.Code())) {
      Retry(error, &Operation::Write);
    } else {
      Retry(error, &Operation::Read);
    }
  }

  void Read()
  {
    ++m_calls;
    m_writer.m_platform.Read(
      m_write.m_key,
      [self = shared_from_this()](const Result<PlatformObject>& aObject) {
        self->OnRead(aObject);
      });
  }

  void OnRead(const Result<PlatformObject>& aObject)
  {
    const bool isAbsent =
      !aObject && aObject.error().Code() == ErrorCode::NotFound;
    if (!aObject && !isAbsent) {
      Retry(aObject.error(), &Operation::Read);
      return;
    }
    if (aObject && aObject.value().m_operation == m_write.m_operation) {
      FinishWritten(aObject.value().m_document.m_revision);
      return;
    }
    const Revision revision =
      isAbsent ? Revision{ 0 } : aObject.value().m_document.m_revision;
    if (revision == m_write.m_expected) {
      // The read was stale, or the write did not take effect, or not yet; to
      // repeat it is safe.
      Retry(WriteNotSeen(), &Operation::Write);
      return;
    }
    FinishLostRace(aObject);
  }

  void Retry(const Error& aError, void (Operation::*aStep)())
  {
    if (IsExhausted()) {
      FinishExhausted(aError);
      return;
    }
    const auto limit = static_cast<std::uint64_t>(m_delay.count());
    const Duration delay(
      static_cast<Duration::rep>(m_writer.m_random.Below(limit + 1)));
    m_delay = std::min(m_delay * 2, m_writer.m_settings.m_longestDelay);
    m_writer.m_timer.After(
      delay, [self = shared_from_this(), aStep] { (*self.*aStep)(); });
  }

  bool IsExhausted() const { return m_calls >= m_writer.m_settings.m_maxCalls; }

  void FinishExhausted(const Error& aError)
  {
    m_hasConflict && !m_hasLostAnswer ? FinishLostRace(aError)
                                      : FinishFailed(aError);
  }

  Error WriteNotSeen() const
  {
    return Error(ErrorCode::Unavailable,
                 "platform.write",
                 "",
                 "the answer was lost and the write was not seen");
  }

  void FinishWritten(Revision aRevision)
  {
    WriteReport report;
    report.m_end = ConditionalWriteStatus::Written;
    report.m_revision = aRevision;
    m_done(report);
  }

  void FinishLostRace(const Result<PlatformObject>& aCurrent)
  {
    WriteReport report;
    report.m_end = ConditionalWriteStatus::LostRace;
    report.m_mayHaveBeenReplaced = m_hasLostAnswer;
    if (aCurrent) {
      report.m_current = aCurrent.value();
    }
    m_done(report);
  }

  void FinishFailed(const Error& aError)
  {
    WriteReport report;
    report.m_end = m_hasLostAnswer ? ConditionalWriteStatus::Unknown
                                   : ConditionalWriteStatus::Failed;
    report.m_error = aError;
    m_done(report);
  }

  const ConditionalWriter& m_writer;
  PlatformWrite m_write;
  Callback m_done;
  Duration m_delay;
  std::size_t m_calls = 0;
  /// An answer was lost: the write may have taken effect.
  bool m_hasLostAnswer = false;
  /// The platform refused: the object has another revision.
  bool m_hasConflict = false;
};

void
ConditionalWriter::Write(PlatformWrite aWrite, Callback aDone)
{
  std::make_shared<Operation>(*this, std::move(aWrite), std::move(aDone))
    ->Write();
}

} // namespace tarragontray
