"""The real program short of descriptors: many idle clients, an unreachable catalog and a reload."""

from __future__ import annotations

import json
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from scenario import Peer, StandInInterpreter, World, configuration
from wire import Caller, Tcp, wait_for

DESCRIPTORS = 64
IDLE_CLIENTS = 3 * DESCRIPTORS


@contextmanager
def program(folder: Path, **changes: object) -> Iterator[tuple[subprocess.Popen[str], tuple[str, int]]]:
    """Start the program with RLIMIT_NOFILE set to the configured number of descriptors."""
    with socket.create_server(("127.0.0.1", 0)) as probe_socket:
        address = probe_socket.getsockname()
    (folder / "c.json").write_text(configuration(listen="{}:{}".format(*address), **changes))
    command = [sys.executable, "-m", "lapishaven", "serve", "--config", str(folder / "c.json")]

    def set_limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True, preexec_fn=set_limit) as process:
        try:
            assert process.stderr is not None and "lapishaven" in process.stderr.readline()
            yield process, address
        finally:
            process.kill()


def accept_link(listener: socket.socket) -> StandInInterpreter:
    """Accept the next link that the program dials, as the stand-in interpreter."""
    vm = StandInInterpreter()
    vm.link = Peer(listener.accept()[0])
    wait_for(lambda: (vm.pump(), any(line.startswith("CONNECT") for line in vm.log))[1], "the link")
    return vm


def connect_and_serve(vm: StandInInterpreter, address: tuple[str, int], name: str) -> Caller:
    """Connect a new caller and complete one request of it."""
    caller = Caller(socket.create_connection(address, 20))
    caller.sock.sendall(World.message(Tcp(), name, "1", "fuzzy-match"))
    wait_for(lambda: (vm.pump(), f"{name}.1" in vm.handles)[1], f"the run of {name}")
    vm.end("OK", f"{name}.1")
    wait_for(lambda: (caller.pump(), caller.answers)[1], f"the answer of {name}")
    assert caller.answers == ["result 1"]
    return caller


def test_idle_clients_leave_descriptors_for_a_reload_and_for_new_callers(tmp_path: Path) -> None:
    """Guards against a server that cannot serve because idle clients hold every descriptor: while the catalog is
    down, neither the links that a reload dials nor new callers would get one."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS}
    with socket.create_server(("127.0.0.1", 0)) as first, socket.create_server(("127.0.0.1", 0)) as second:
        first.settimeout(20)
        second.settimeout(20)
        idle: list[Caller] = []
        vm_address = "127.0.0.1:{}"
        with program(tmp_path, vm=vm_address.format(first.getsockname()[1]), limits=limits) as (process, address):
            vm = accept_link(first)
            try:
                for n in range(IDLE_CLIENTS):  # half of them make one request and stay connected, half send nothing
                    if n % 2:
                        idle.append(connect_and_serve(vm, address, f"t{n}"))
                    else:
                        idle.append(Caller(socket.create_connection(address, 20)))
                text = configuration(
                    listen="{}:{}".format(*address), vm=vm_address.format(second.getsockname()[1]), limits=limits
                )
                (tmp_path / "c.json").write_text(text)
                process.send_signal(signal.SIGHUP)
                links = [vm]
                second.setblocking(False)

                def link_has_moved() -> bool:
                    links[0].pump()
                    try:
                        sock, _ = second.accept()
                    except BlockingIOError:
                        return False
                    links.append(StandInInterpreter())
                    links[1].link = Peer(sock)
                    return True

                wait_for(link_has_moved, "the link to the new address")
                moved_vm = links[1]
                moved_vm.number = vm.number
                idle.append(connect_and_serve(moved_vm, address, "t900"))
                open_files = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
                assert open_files <= DESCRIPTORS
            finally:
                for caller in idle:
                    caller.sock.close()
            process.send_signal(signal.SIGTERM)
            log = process.communicate(timeout=20)[1]
            assert process.returncode == 0
            counters = json.loads(log.rpartition("counters ")[2])
            assert counters["ends"].get("caller evicted", 0) + counters["ends"].get("caller timed out", 0) > 0
            assert "Traceback" not in log
