"""Tests of the decision whether a request is served, and for which tenant."""

import types

import anyio
import testtools

from snipetrestle.codes import Outcome, ResultCode
from snipetrestle.gateway.callers.request_head import Request
from snipetrestle.gateway.configuration import (
    RequestKind,
    Route,
    RoutingConfiguration,
    WeightedBackend,
)
from snipetrestle.gateway.dialect import KeyProblem, RequestMetadata
from snipetrestle.gateway.job import Job, Refused
from snipetrestle.tenants.authentication import authenticate, reauthenticate
from snipetrestle.tenants.configuration import Tenant
from snipetrestle.tenants.table import TenantTable


def routing(*tenants):
    """Returns a configuration; with no arguments, nobody is a tenant."""
    return RoutingConfiguration(7, (), {}, tenants=TenantTable.from_tenants(tenants))


OPEN_ROUTING = RoutingConfiguration(7, (), {})


def route(public=False, priority=3):
    backends = (WeightedBackend("register", 1.0),)
    return Route(
        "lookup",
        "desk",
        "/lookup/",
        RequestKind.IDEMPOTENT,
        5.0,
        0.6,
        priority,
        backends,
        2,
        public=public,
    )


def metadata(digest=None, problem=None):
    if digest is None:
        problem = problem or KeyProblem.MISSING
    return RequestMetadata(b"r1", key_digest=digest, key_problem=problem)


def new_job(tenant, digest="1", public=False):
    request = Request(b"GET", b"/lookup/a", [], True)
    caller = types.SimpleNamespace()

    async def create():
        # Its scope needs an event loop.
        return Job(request, metadata(digest), route(public), None, caller, tenant)

    return anyio.run(create)


A = Tenant("a", frozenset({"1", "2"}))
B = Tenant("b", frozenset({"3"}), priority=0)


class AuthenticateTest(testtools.TestCase):
    def assert_refused(self, configuration, facts):
        refusal = self.assertRaises(
            Refused, authenticate, configuration, route(), facts
        )
        self.assertEqual(ResultCode.BAD_KEY, refusal.code)
        self.assertEqual((401, Outcome.DID_NOT_RUN), code_facts(refusal.code))
        return refusal.fields

    def test_without_tenants_nobody_is_asked(self):
        """Deployments without tenants must serve all requests as before."""
        for facts in (metadata(), metadata("9"), metadata(None, KeyProblem.REPEATED)):
            self.assertIsNone(authenticate(OPEN_ROUTING, route(), facts))

    def test_known_keys_give_their_tenant(self):
        """A request could be served for another tenant."""
        configuration = routing(A, B)
        self.assertIs(A, authenticate(configuration, route(), metadata("2")))
        self.assertIs(B, authenticate(configuration, route(), metadata("3")))

    def test_other_requests_are_refused_with_the_reason(self):
        """A caller without a key could be served, or the cause not be found."""
        for problem in KeyProblem:
            fields = self.assert_refused(routing(A), metadata(None, problem))
            self.assertEqual(problem, fields["reason"])
        digest = "9" * 64
        fields = self.assert_refused(routing(A), metadata(digest))
        self.assertEqual(
            ("unknown key", 7), (fields["reason"], fields["configuration"])
        )
        self.assertNotIn(digest, str(fields))
        self.assert_refused(routing(), metadata("1"))

    def test_public_routes_admit_everybody(self):
        """A public route must need no key, and still know its tenants."""
        configuration = routing(A)
        self.assertIs(A, authenticate(configuration, route(True), metadata("1")))
        for facts in (metadata(), metadata("9"), metadata(None, KeyProblem.TOO_LONG)):
            self.assertIsNone(authenticate(configuration, route(True), facts))


def code_facts(code):
    return code.http_status, code.outcome


class ReauthenticateTest(testtools.TestCase):
    def refusal(self, configuration, job):
        return self.assertRaises(Refused, reauthenticate, configuration, job)

    def test_key_that_stays_takes_the_new_settings_of_its_tenant(self):
        """A request that waits would be sent with a priority that was changed."""
        job = new_job(A)
        self.assertEqual(3, job.priority)
        changed = Tenant("a", frozenset({"1"}), priority=0)
        reauthenticate(routing(changed), job)
        self.assertEqual((changed, 0), (job.tenant, job.priority))

    def test_key_taken_away_ends_a_request_that_has_not_run(self):
        """A key that was taken away must reach no replica any more."""
        for configuration in (
            routing(Tenant("a", frozenset({"2"}))),
            routing(Tenant("a", frozenset())),
            routing(B),
            routing(),
            routing(Tenant("b", frozenset({"1"}))),
        ):
            code = self.refusal(configuration, new_job(A)).code
            self.assertEqual(ResultCode.BAD_KEY, code)

    def test_key_taken_away_leaves_the_outcome_unknown_after_an_attempt(self):
        """A 401 promises that nothing ran."""
        job = new_job(A)
        job.may_have_run_on.append("i-1")
        code = self.refusal(routing(B), job).code
        self.assertEqual(ResultCode.ANSWER_MISMATCH, code)
        self.assertEqual(Outcome.UNKNOWN, code.outcome)

    def test_request_on_a_public_route_goes_on_without_its_tenant(self):
        """The same request would be served if its caller sent it again."""
        job = new_job(A, public=True)
        reauthenticate(routing(B), job)
        self.assertIsNone(job.tenant)

    def test_tenants_that_come_and_go(self):
        """Authentication must begin and end for requests that wait as well."""
        job = new_job(None)
        reauthenticate(routing(A), job)
        self.assertIs(A, job.tenant)
        reauthenticate(OPEN_ROUTING, job)
        self.assertIsNone(job.tenant)
        self.assertEqual(
            ResultCode.BAD_KEY, self.refusal(routing(A), new_job(None, None)).code
        )
