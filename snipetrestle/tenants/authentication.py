"""Decides whether a request may be served, and to which tenant it belongs."""

from snipetrestle.codes import ResultCode
from snipetrestle.gateway.job import Refused

# How much of a digest log lines show: enough to compare it with that of a known key.
SHOWN_DIGEST_LENGTH = 8


def authenticate(configuration, route, metadata):
    """Returns the Tenant of a request; None if it is served without one.

    Raises Refused if its route is open to callers with a key only.
    """
    tenants = configuration.tenants
    if tenants is None:
        return None
    tenant = None
    if metadata.key_digest is not None:
        tenant = tenants.find(metadata.key_digest)
    if tenant is None and not route.public:
        raise _key_refusal(
            configuration, route, metadata, metadata.key_problem or "unknown key"
        )
    return tenant


def reauthenticate(configuration, job):
    """Updates the tenant of a job that is about to be sent to a replica.

    Raises Refused if its key no longer belongs to the same tenant.
    """
    route, metadata = job.route, job.metadata
    try:
        tenant = authenticate(configuration, route, metadata)
        if tenant is not None and not route.public:
            _check_same_tenant(configuration, job, tenant)
    except Refused as refusal:
        if job.may_have_run:
            raise Refused(job.unknown_outcome_code, **refusal.fields) from None
        raise
    job.tenant = tenant


def _check_same_tenant(configuration, job, tenant):
    if job.tenant is not None and job.tenant.name != tenant.name:
        raise _key_refusal(
            configuration, job.route, job.metadata, "key of another tenant"
        )


def _key_refusal(configuration, route, metadata, reason):
    fields = {}
    if metadata.key_digest is not None:
        fields["key_digest_start"] = metadata.key_digest[:SHOWN_DIGEST_LENGTH]
    return Refused(
        ResultCode.BAD_KEY,
        reason=reason,
        route=route.name,
        configuration=configuration.version,
        **fields,
    )
