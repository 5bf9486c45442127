"""Collects the body of a request.

A list of chunks would take many times their size if they are short.
"""


class BodyBuffer:
    """The parts of a body that have arrived. Its length is their number of bytes."""

    __slots__ = ("_content",)

    def __init__(self):
        self._content = b""

    def __len__(self):
        return len(self._content)

    def append(self, data):
        """Adds a part. A body in one part is not copied."""
        if not self._content:
            self._content = data
            return
        if type(self._content) is bytes:
            self._content = bytearray(self._content)
        self._content += data

    def take(self):
        """Removes all parts and returns them as bytes."""
        content, self._content = self._content, b""
        return bytes(content)
