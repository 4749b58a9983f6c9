"""Relays TCP connections and UDP datagrams between hosts on loopback, with cuts that a test can switch on."""

import asyncio
import random
import socket
import threading

ADDRESS = "127.0.0.1"


class Link:
    """State of the path between two parties, in each direction."""

    def __init__(self):
        self.cut_forward = False  # From the party that connects.
        self.cut_backward = False  # From the party that listens.
        self.loss = 0.0  # Share of datagrams lost.
        self.delay = 0.0  # Seconds added to each piece of data.


class Relay:
    """All relays of one run; they share one event loop in a thread."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def stop(self):
        async def cancel_all():
            tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self._run(cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    async def _pump(self, reader, writer, link, forward):
        while True:
            data = await reader.read(65536)
            if not data:
                break
            if link.delay:
                await asyncio.sleep(link.delay)
            # A cut path stays silent instead of closing, as a partition does.
            while link.cut_forward if forward else link.cut_backward:
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()

    async def _serve(self, reader, writer, link, port):
        far_writer = None
        try:
            while link.cut_forward or link.cut_backward:
                await asyncio.sleep(0.05)
            far_reader, far_writer = await asyncio.open_connection(ADDRESS, port)
            pumps = [asyncio.ensure_future(self._pump(reader, far_writer, link, True)), asyncio.ensure_future(self._pump(far_reader, writer, link, False))]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except OSError:
            pass
        finally:
            for each in (writer, far_writer):
                if each is not None:
                    each.close()

    def tcp(self, port, link):
        """Relays TCP to the port; returns the relay's port."""

        async def start():
            server = await asyncio.start_server(lambda r, w: self._serve(r, w, link, port), ADDRESS, 0)
            return server.sockets[0].getsockname()[1]

        return self._run(start())

    def udp(self, port, link):
        """Relays datagrams to the port, one way; returns the relay's port."""
        relay = self

        class Protocol(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, _):
                if link.cut_forward or relay.random.random() < link.loss:
                    return
                self.transport.sendto(data, (ADDRESS, port))

        async def start():
            listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            listener.bind((ADDRESS, 0))
            transport, _ = await relay.loop.create_datagram_endpoint(Protocol, sock=listener)
            return transport.get_extra_info("sockname")[1]

        return self._run(start())
