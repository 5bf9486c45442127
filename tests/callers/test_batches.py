"""Tests of the batch endpoints for callers."""

import json

import testtools
from loguru import logger

from snipetrestle.callers.batches import BatchEndpoints
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.published import PublishedConfiguration
from snipetrestle_standins.batch_fleet import CUSTOMER, BatchFleet
from snipetrestle_standins.clock import run_in_virtual_time
from tests.systems import with_own_system

CONTRACT = {
    "requests_per_second": 10,
    "concurrency": 10,
    "tokens_per_minute": 1000,
    "waiting_first_token_s": 1,
}
CONFIGURATION = PublishedConfiguration.from_data(
    {
        "models": [{"name": "base"}],
        "adapters": [{"name": "cuff", "model": "base", "versions": ["1"]}],
        "customers": [
            {"name": name, "api_key_sha256": [], "contract": CONTRACT}
            for name in (CUSTOMER, "kitami")
        ],
        "backend_servers": [],
        "daemons": [],
    }
)
ITEM = {"model": "base:cuff@1", "prompt": "size 8", "max_tokens": 5, "custom_id": "x"}


class _FakeExchange:
    """Exchange that records the response instead of sending it."""

    def __init__(self, method, path, body=None, key=None):
        self.method = method
        self.path = path
        self.response = None
        self._body = json.dumps(body).encode()
        self._key = key

    def header(self, name):
        return self._key if name == b"idempotency-key" else None

    async def read_body(self):
        return self._body

    async def respond_json(self, item, status=200, headers=()):
        self.response = status, item


class BatchPathTest(testtools.TestCase):
    def run_fleet(self, function):
        async def main():
            async with BatchFleet() as fleet:
                await function(fleet)

        logger.disable("snipetrestle")
        self.addCleanup(logger.enable, "snipetrestle")
        run_in_virtual_time(main)

    async def call(self, fleet, method, path, body=None, key=None, customer=CUSTOMER):
        exchange = _FakeExchange(method, path, body, key)
        customer = CONFIGURATION.customers_by_name[customer]
        await BatchEndpoints(fleet.holder()).serve(exchange, CONFIGURATION, customer)
        return exchange.response

    async def refusal(self, *arguments, **options):
        try:
            await self.call(*arguments, **options)
        except ServingError as error:
            return error
        return self.fail("the request was not refused")

    @with_own_system("run_fleet")
    async def test_submit_status_and_results(self, fleet):
        """A caller must be able to assign the results to its items."""
        body = {"items": [ITEM, {**ITEM, "custom_id": "y"}]}
        status, answer = await self.call(fleet, "POST", "/v1/batches", body, "night")
        self.assertEqual((202, "running", 2), (status, answer.state, answer.total))
        _, repeated = await self.call(fleet, "POST", "/v1/batches", body, "night")
        self.assertEqual(answer.id, repeated.id)
        await fleet.wait_finished(answer.id)
        path = f"/v1/batches/{answer.id}"
        _, state = await self.call(fleet, "GET", path)
        self.assertEqual(("finished", 2, 0), (state.state, state.done, state.failed))
        _, results = await self.call(fleet, "GET", f"{path}/results")
        self.assertEqual(
            [(0, "x"), (1, "y")],
            [(item.index, item.custom_id) for item in results["results"]],
        )

    @with_own_system("run_fleet")
    async def test_batch_is_unknown_to_other_customers(self, fleet):
        """Guards against batches that every customer can read."""
        body = {"items": [ITEM]}
        _, answer = await self.call(fleet, "POST", "/v1/batches", body)
        path = f"/v1/batches/{answer.id}/results"
        error = await self.refusal(fleet, "GET", path, customer="kitami")
        self.assertIs(ResultCode.UNKNOWN_BATCH, error.code)

    @with_own_system("run_fleet")
    async def test_submission_with_an_invalid_item_is_refused_as_a_whole(self, fleet):
        """One item that can never run must keep its batch from being accepted."""
        for invalid_fields, field in (
            ({"model": "base:none@1"}, "items[1].model"),
            ({"prompt": ""}, "items[1].prompt"),
            ({"max_tokens": 0}, "items[1].max_tokens"),
        ):
            body = {"items": [ITEM, {**ITEM, **invalid_fields}]}
            error = await self.refusal(fleet, "POST", "/v1/batches", body)
            self.assertEqual(field, error.field)
        error = await self.refusal(fleet, "POST", "/v1/batches", {"items": []})
        self.assertEqual("items", error.field)
        self.assertEqual(0, fleet.holder().held_batches)
