"""Routes that inject faults; served only when settings permit it."""

from aiohttp import web

from sardinedrift.assembly import Parts


def add_routes(application: web.Application, parts: Parts) -> None:
    """Adds the routes to the application for operators."""

    async def cut(request: web.Request) -> web.Response:
        # Calls to and from these addresses or data centres fail.
        message = await request.json()
        parts.peers.blocked = set(message["blocked"])
        return web.json_response({"blocked": sorted(parts.peers.blocked)})

    application.router.add_post("/test/cut", cut)
