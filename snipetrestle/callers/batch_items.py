"""Runs the items of batches through the EntryRouter, as requests of class batch."""

import anyio

from snipetrestle.callers.completions import estimate_tokens, resolve_adapter
from snipetrestle.callers.entry import Generation
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.engines.forward import Finished, RequestClass


class BatchItemRunner:
    """Runs single items for a BatchHolder. ``router`` is an EntryRouter."""

    def __init__(self, router, generator):
        self._router = router
        self._generator = generator
        self._configuration = None

    def apply(self, configuration):
        """Applies a published configuration."""
        self._configuration = configuration

    async def run(self, batch_id, index, customer_name, item, time_left_s):
        """Generates one item. Returns (text, finish reason). Raises ServingError."""
        if self._configuration is None:
            raise ServingError(ResultCode.NOT_READY)
        customer = self._configuration.customers_by_name.get(customer_name)
        if customer is None:
            raise ServingError(ResultCode.BAD_KEY, customer_name)
        name = resolve_adapter(self._configuration, customer, item.model)
        generation = Generation(
            request_id=f"{self._generator.getrandbits(96):024x}",
            customer=customer.name,
            request_class=RequestClass.BATCH,
            model=name.model,
            adapter=name.adapter,
            version=name.version,
            prompt=item.prompt,
            prompt_tokens=estimate_tokens(item.prompt),
            max_tokens=item.max_tokens,
            deadline=anyio.current_time() + time_left_s,
            weight=customer.contract.weight,
        )
        tokens = []
        async for reply in self._router.generate(generation):
            if isinstance(reply, Finished):
                return "".join(tokens), reply.finish_reason
            tokens.extend(reply.tokens)
        raise ServingError(ResultCode.STREAM_BROKEN, "it ended without a finish reason")
