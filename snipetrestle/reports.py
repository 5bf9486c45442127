"""Reports and actions of an application for its operators' interface."""

from snipetrestle.operators.reports import DaemonReport, MemberReport, ReplicaReport


class ApplicationReports:
    """Implements OperatorSource for an Application."""

    def __init__(self, app):
        self._app = app

    def configuration(self):
        return self._app.configuration_sync.current

    def daemon_report(self):
        app = self._app
        return DaemonReport(
            name=app.settings.daemon.name,
            incarnation=str(app.membership.own_incarnation),
            ready=app.is_ready(),
            draining=app.draining,
            configuration_revision=app.configuration_sync.revision,
            owned_replicas=tuple(
                sorted(owner.server.name for owner in app.ownership.owners())
            ),
            members=tuple(
                MemberReport(
                    member.name,
                    str(member.state),
                    member.failure_domain,
                    str(member.incarnation),
                )
                for member in app.membership.members()
            ),
        )

    def replica_reports(self):
        return [_replica_report(owner) for owner in self._app.ownership.owners()]

    def metrics_text(self):
        return self._app.metrics.text()

    def confirm_stopped(self, name):
        """Releases the adapter copies of a daemon that is confirmed as stopped."""
        self._app.ownership.confirm_stopped(name)

    def start_drain(self):
        self._app.start_drain()


def _replica_report(owner):
    hints = owner.hints()
    return ReplicaReport(
        name=owner.server.name,
        queued=hints.queued,
        running=hints.running,
        resident_adapters=tuple(owner.resident_handles()),
    )
