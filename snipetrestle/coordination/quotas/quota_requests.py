"""Sends requests for units to the owners of quotas, and notes which hosts answer."""

from snipetrestle.coordination.messaging.datagram_requests import DatagramRequests
from snipetrestle.coordination.messaging.messages import QuotaReply, QuotaRequest

MAX_SENDS = 2
# How long a host that did not answer is passed over. The host that is asked instead
# tries the silent one more often, and tells the others once it answers.
SILENCE_S = 10.0


class QuotaRequests:
    """Sends QuotaRequests. ``owners`` is the KeyOwners that passes over silent hosts."""

    def __init__(self, hosts, endpoint, owners):
        self._hosts = hosts
        self._endpoint = endpoint
        self._owners = owners
        self._requests = DatagramRequests(endpoint, QuotaReply)

    async def ask(self, name, tenant, amount, minimum, returned, max_wait_s):
        """Returns the QuotaReply of a host, or None without one."""

        def build(number, is_first):
            return QuotaRequest(
                self._hosts.own.boot,
                number,
                tenant,
                amount,
                minimum,
                returned,
                max_wait_s,
            )

        host = self._hosts.by_name.get(name)
        if host is None:
            return None
        reply = await self._requests.ask(build, host.address, MAX_SENDS)
        if reply is None:
            self._owners.note_silent(name, SILENCE_S)
        else:
            self._owners.note_heard(name)
        return reply
