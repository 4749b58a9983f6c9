"""Relays TCP connections and UDP datagrams between hosts on loopback and can cut a path, lose datagrams or delay data."""

import asyncio
import random
import socket
import threading

ADDRESS = "127.0.0.1"


class Link:
    """Faults of the path between two endpoints, set while the relay runs."""

    def __init__(self):
        self.cut_forward = False  # Blocks data from the connecting endpoint.
        self.cut_backward = False  # Blocks data from the listening endpoint.
        self.loss_share = 0.0  # Share of datagrams dropped, 0 to 1.
        self.delay_s = 0.0  # Added to each chunk of TCP data.


class Relay:
    """All relays of one run. They share an event loop that runs in a thread of its own."""

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

        self._run_on_loop(cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    def _run_on_loop(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    async def _copy_data(self, reader, writer, link, forward):
        while True:
            data = await reader.read(65536)
            if not data:
                break
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            # A cut path holds data back without closing the connection, as a network partition does.
            while link.cut_forward if forward else link.cut_backward:
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()

    async def _serve(self, reader, writer, link, port):
        remote_writer = None
        try:
            while link.cut_forward or link.cut_backward:
                await asyncio.sleep(0.05)
            remote_reader, remote_writer = await asyncio.open_connection(ADDRESS, port)
            copy_tasks = [asyncio.ensure_future(self._copy_data(reader, remote_writer, link, True)), asyncio.ensure_future(self._copy_data(remote_reader, writer, link, False))]
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            for copy_task in copy_tasks:
                copy_task.cancel()
        except OSError:
            pass
        finally:
            for stream in (writer, remote_writer):
                if stream is not None:
                    stream.close()

    def relay_tcp(self, port, link):
        """Starts a relay of TCP connections to the port and returns the port of the relay."""

        async def start():
            server = await asyncio.start_server(lambda r, w: self._serve(r, w, link, port), ADDRESS, 0)
            return server.sockets[0].getsockname()[1]

        return self._run_on_loop(start())

    def relay_udp(self, port, link):
        """Starts a one-way relay of datagrams to the port and returns the port of the relay."""
        relay = self

        class Protocol(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, _):
                if link.cut_forward or relay.random.random() < link.loss_share:
                    return
                self.transport.sendto(data, (ADDRESS, port))

        async def start():
            listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            listener.bind((ADDRESS, 0))
            transport, _ = await relay.loop.create_datagram_endpoint(Protocol, sock=listener)
            return transport.get_extra_info("sockname")[1]

        return self._run_on_loop(start())
