"""Minimal aiohttp relay: forwards each request to one engine and does nothing else."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
from aiohttp import web

from standin.serve import serve_application


async def main() -> None:
    """Serve on the first argument and forward to the URL in the second."""
    target = f"{sys.argv[2]}/v1/chat/completions"
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
    ) as http:

        async def forward(request: web.Request) -> web.StreamResponse:
            body = await request.read()
            async with http.post(target, data=body) as answer:
                response = web.StreamResponse(status=answer.status)
                response.content_type = answer.content_type
                await response.prepare(request)
                async for chunk in answer.content.iter_any():
                    await response.write(chunk)
                await response.write_eof()
                return response

        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/chat/completions", forward)
        await serve_application(app, sys.argv[1])


if __name__ == "__main__":
    asyncio.run(main())
