"""Items as the platform's store sends them."""

import base64
import json


def raw_item(key, value, revision=1):
    """Returns the JSON of an item; ``value`` is None for a deleted one."""
    item = {"key": key, "revision": revision}
    if value is None:
        item["deleted"] = True
    else:
        item["value"] = base64.b64encode(value).decode()
    return json.dumps(item).encode()
