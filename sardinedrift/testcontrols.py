"""Routes that inject faults; served only if enabled in the settings."""

from aiohttp import web

from sardinedrift.assembly import EntryComponents


def add_routes(
    application: web.Application, components: EntryComponents
) -> None:
    """Adds the routes to the admin application."""

    async def block_peers(request: web.Request) -> web.Response:
        # Calls to and from these addresses or data centres fail.
        message = await request.json()
        components.peers.blocked = set(message["blocked"])
        return web.json_response({"blocked": sorted(components.peers.blocked)})

    application.router.add_post("/test/cut", block_peers)
