#include <algorithm>
#include <utility>

#include "programs/CtlChange.h"
#include "programs/CtlCommand.h"
#include "programs/CtlFormat.h"
#include "programs/CtlMoveView.h"
#include "version/ChangeValidation.h"

namespace tarragontray {

namespace {

constexpr Duration kWatchInterval = std::chrono::milliseconds(500);

ServiceId
ServiceOf(const CtlContext& aContext)
{
  return { ClientAccountId(aContext.m_arguments[0]),
           ServiceName(aContext.m_arguments[1]) };
}

/// The parameters of an account and the service in them that is to be changed.
struct ServiceChange
{
  AccountParameters m_parameters;
  Revision m_version;
  std::size_t m_index = 0;
  /// The version that serves the service's traffic when no move is running.
  UpstreamVersion m_servingVersion;

  ServiceParameters& Service() { return m_parameters.m_services[m_index]; }
};

Result<ServiceChange>
SelectService(CtlSession& aSession, const ServiceId& aService)
{
  BOOST_OUTCOME_TRY(const CurrentConfiguration current,
                    ReadConfiguration(aSession, aService.m_owner));
  BOOST_OUTCOME_TRY(const auto done, ReadDoneMoves(aSession, aService.m_owner));
  const auto& services = current.m_configuration.m_services;
  const auto found = std::find_if(
    services.begin(), services.end(), [&](const ServiceSpec& aSpec) {
      return aSpec.m_id == aService;
    });
  if (found == services.end()) {
    return Error(ErrorCode::InvalidArgument,
                 "move.plan",
                 "",
                 "parameters.services: " + aService.m_owner.Value() +
                   " exposes no " + aService.m_name.Value());
  }
  ServiceChange change;
  change.m_parameters = current.m_parameters;
  change.m_version = current.m_object.m_document.m_revision;
  // Expansion keeps the order of the services, so the index in the
  // configuration is also the index in the parameters.
  change.m_index = static_cast<std::size_t>(found - services.begin());
  change.m_servingVersion = ServingVersion(*found, done);
  change.Service().m_lastPlan = found->m_lastPlan;
  return change;
}

Result<CtlOutput>
ReviewAndApply(const CtlContext& aContext, const ServiceChange& aChange)
{
  BOOST_OUTCOME_TRY(const ReviewedChange reviewed,
                    ReviewChange(aContext.m_session, aChange.m_parameters));
  BOOST_OUTCOME_TRY(
    CtlOutput applied,
    ApplyChange(aContext.m_session, reviewed, aChange.m_version));
  return FinishChange(
    aContext, aChange.m_parameters.m_account, std::move(applied));
}

class MoveStart final : public CtlCommand
{
public:
  std::string_view Name() const override { return "move start"; }
  std::string_view Arguments() const override { return "ACCOUNT SERVICE TO"; }
  std::string_view Summary() const override
  {
    return "Plans a move to a new upstream version, in place of a running one "
           "(--deadline, --start, --hold-ms, --wait).";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(CheckWait(aContext));
    const Settings& settings = aContext.m_settings;
    const WallTime now = aContext.m_session.Now();
    MoveParameters move;
    BOOST_OUTCOME_TRY(move.m_start,
                      ReadTime("--start", settings.Text("start"), now));
    BOOST_OUTCOME_TRY(move.m_deadline,
                      ReadTime("--deadline", settings.Text("deadline"), now));
    move.m_hold = settings.Milliseconds("hold-ms");
    BOOST_OUTCOME_TRY(ServiceChange change,
                      SelectService(aContext.m_session, ServiceOf(aContext)));
    ServiceParameters& service = change.Service();
    move.m_plan = service.m_lastPlan + PlanNumber{ 1 };
    move.m_from = change.m_servingVersion;
    move.m_to = UpstreamVersion(aContext.m_arguments[2]);
    service.m_lastPlan = move.m_plan;
    service.m_liveVersions = { move.m_from, move.m_to };
    service.m_move = move;
    return ReviewAndApply(aContext, change);
  }
};

class MoveCancel final : public CtlCommand
{
public:
  std::string_view Name() const override { return "move cancel"; }
  std::string_view Arguments() const override { return "ACCOUNT SERVICE"; }
  std::string_view Summary() const override
  {
    return "Ends a service's plan: its whole traffic goes to the old version, "
           "or stays on the new one when the move is done (--wait).";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(CheckWait(aContext));
    BOOST_OUTCOME_TRY(ServiceChange change,
                      SelectService(aContext.m_session, ServiceOf(aContext)));
    ServiceParameters& service = change.Service();
    if (!service.m_move) {
      return Error(ErrorCode::InvalidArgument,
                   "move.plan",
                   "",
                   "parameters.services[" + std::to_string(change.m_index) +
                     "].move: no move is planned");
    }
    service.m_move.reset();
    service.m_liveVersions = { change.m_servingVersion };
    return ReviewAndApply(aContext, change);
  }
};

class MoveShow final : public CtlCommand
{
public:
  std::string_view Name() const override { return "move status"; }
  std::string_view Arguments() const override { return "ACCOUNT SERVICE"; }
  std::string_view Summary() const override
  {
    return "Shows where a service's last move stands and why (--node for its "
           "shares).";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    BOOST_OUTCOME_TRY(const MoveView view,
                      ReadMove(aContext.m_session, ServiceOf(aContext)));
    return CtlOutput{ TextOf(view) + "\n", JsonOf(view) };
  }
};

class MoveWatch final : public CtlCommand
{
public:
  std::string_view Name() const override { return "move watch"; }
  std::string_view Arguments() const override { return "ACCOUNT SERVICE"; }
  std::string_view Summary() const override
  {
    return "Waits for the end of a service's move; fails unless it is done "
           "(--wait-ms).";
  }

  Result<CtlOutput> Run(const CtlContext& aContext) const override
  {
    CtlSession& session = aContext.m_session;
    const ServiceId service = ServiceOf(aContext);
    const WallTime start = session.Now();
    const Duration limit = aContext.m_settings.Milliseconds("wait-ms");
    Result<MoveView> view = ReadMove(session, service);
    while (ShouldKeepWaiting(view) && session.Now() - start < limit) {
      DrawProgress(view ? TextOf(view.value()) : view.error().Message());
      session.Wait(kWatchInterval);
      view = ReadMove(session, service);
    }
    DrawProgress("");
    if (!view) {
      return view.error();
    }
    const bool isDone = view.value().m_state == "done";
    return CtlOutput{ TextOf(view.value()) + "\n",
                      JsonOf(view.value()),
                      isDone ? kExitDone : kExitFailed };
  }

private:
  /// True until the move has ended. An unreachable platform is read again.
  static bool ShouldKeepWaiting(const Result<MoveView>& aView)
  {
    return aView ? !aView.value().IsEnded()
                 : ExitStatusOf(aView.error()) == kExitUnreachable;
  }
};

} // namespace

void
AddMoveCommands(CtlCommands& aCommands)
{
  aCommands.push_back(std::make_unique<MoveStart>());
  aCommands.push_back(std::make_unique<MoveShow>());
  aCommands.push_back(std::make_unique<MoveCancel>());
  aCommands.push_back(std::make_unique<MoveWatch>());
}

} // namespace tarragontray
