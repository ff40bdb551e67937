"""A bare aiohttp relay: what a router can't cost less than."""

from __future__ import annotations

import sys

import aiohttp
from aiohttp import web


def build_application(backend: str) -> web.Application:
    """Build a relay that forwards every POST to one backend server."""
    application = web.Application(client_max_size=4_000_000)

    async def open_session(application: web.Application) -> None:
        application["session"] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )

    async def close_session(application: web.Application) -> None:
        await application["session"].close()

    async def relay(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        session: aiohttp.ClientSession = request.app["session"]
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.headers["X-Request-Id"],
        }
        async with session.post(
            f"http://{backend}{request.path}", data=body, headers=headers
        ) as answer:
            if answer.content_type != "text/event-stream":
                return web.Response(
                    status=answer.status,
                    body=await answer.read(),
                    content_type="application/json",
                )
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    application.on_startup.append(open_session)
    application.on_cleanup.append(close_session)
    application.router.add_post("/{path:.*}", relay)
    return application


if __name__ == "__main__":
    web.run_app(
        build_application(sys.argv[2]),
        host=sys.argv[1].partition(":")[0],
        port=int(sys.argv[1].partition(":")[2]),
        access_log=None,
        print=None,
    )
