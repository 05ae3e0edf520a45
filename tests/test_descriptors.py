"""The real program with few descriptors, all of them wanted: idle clients, a catalog that is down, a reload."""

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

from scenario import Peer, Vm, World, configuration
from wire import Caller, Tcp, wait_for

DESCRIPTORS = 64
MANY = 3 * DESCRIPTORS


@contextmanager
def program(folder: Path, **changes: object) -> Iterator[tuple[subprocess.Popen[str], tuple[str, int]]]:
    """The program with a kernel's limit on its descriptors that is the configured one."""
    with socket.create_server(("127.0.0.1", 0)) as held:
        address = held.getsockname()
    (folder / "c.json").write_text(configuration(listen="{}:{}".format(*address), **changes))
    command = [sys.executable, "-m", "lapishaven", "serve", "--config", str(folder / "c.json")]

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True, preexec_fn=limit) as process:
        try:
            assert process.stderr is not None and "lapishaven" in process.stderr.readline()
            yield process, address
        finally:
            process.kill()


def link(door: socket.socket) -> Vm:
    """The stand-in interpreter on the next link that the program dials."""
    vm = Vm()
    vm.link = Peer(door.accept()[0])
    wait_for(lambda: (vm.pump(), any(line.startswith("CONNECT") for line in vm.log))[1], "the link")
    return vm


def served(vm: Vm, address: tuple[str, int], name: str) -> Caller:
    """One request of a new caller, from its connection to its answer."""
    caller = Caller(socket.create_connection(address, 20))
    caller.sock.sendall(World.message(Tcp(), name, "1", "fuzzy-match"))
    wait_for(lambda: (vm.pump(), f"{name}.1" in vm.handles)[1], f"the run of {name}")
    vm.end("OK", f"{name}.1")
    wait_for(lambda: (caller.pump(), caller.answers)[1], f"the answer of {name}")
    assert caller.answers == ["result 1"]
    return caller


def test_a_full_table_of_idle_clients_leaves_descriptors_for_a_reload_and_for_new_callers(tmp_path: Path) -> None:
    """Guards against a server that serves nobody: clients that rest hold every descriptor while the catalog is down,
    and the links that a reload dials, and real callers, find none."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS}
    with socket.create_server(("127.0.0.1", 0)) as first, socket.create_server(("127.0.0.1", 0)) as second:
        first.settimeout(20)
        second.settimeout(20)
        idle: list[Caller] = []
        vm_at = "127.0.0.1:{}"
        with program(tmp_path, vm=vm_at.format(first.getsockname()[1]), limits=limits) as (process, address):
            vm = link(first)
            try:
                for n in range(MANY):  # half of them ask once and stay, half say nothing
                    if n % 2:
                        idle.append(served(vm, address, f"t{n}"))
                    else:
                        idle.append(Caller(socket.create_connection(address, 20)))
                text = configuration(
                    listen="{}:{}".format(*address), vm=vm_at.format(second.getsockname()[1]), limits=limits
                )
                (tmp_path / "c.json").write_text(text)
                process.send_signal(signal.SIGHUP)
                until_fence = [vm]
                second.setblocking(False)

                def moved() -> bool:
                    until_fence[0].pump()
                    try:
                        sock, _ = second.accept()
                    except BlockingIOError:
                        return False
                    until_fence.append(Vm())
                    until_fence[1].link = Peer(sock)
                    return True

                wait_for(moved, "the link to the new address")
                new = until_fence[1]
                new.number = vm.number
                idle.append(served(new, address, "t900"))
                open_files = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
                assert open_files <= DESCRIPTORS
            finally:
                for caller in idle:
                    caller.sock.close()
            process.send_signal(signal.SIGTERM)
            said = process.communicate(timeout=20)[1]
            assert process.returncode == 0
            counters = json.loads(said.rpartition("counters ")[2])
            assert counters["ends"].get("caller evicted", 0) + counters["ends"].get("caller timed out", 0) > 0
            assert "Traceback" not in said
