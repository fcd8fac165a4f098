"""Check whether a process accepts connections."""

from __future__ import annotations

import asyncio

# A refusal takes one round trip, 80 ms at most between the users' regions.
CHECK_TIMEOUT_S = 0.15


async def refuses_connections(address: str) -> bool:
    """Tell whether the host of an address (IP:PORT) says that nobody listens there.

    A host that is silent tells nothing.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False
