"""Tests the file descriptors and child processes of a running entry."""

import os
import pathlib
import unittest

from standins.fleet import running_fleet


def descriptor_targets(pid: int) -> list[str]:
    """Returns the targets of the file descriptors of a process."""
    links = []
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            links.append(os.readlink(path))
        except FileNotFoundError:
            continue  # The descriptor was closed after the listing.
    return links


def child_pids(pid: int) -> list[int]:
    """Returns the ids of the child processes of a process."""
    return [
        int(path.name)
        for path in pathlib.Path("/proc").iterdir()
        if path.name.isdigit() and _parent_of(path) == pid
    ]


def _parent_of(process: pathlib.Path) -> int | None:
    try:
        text = (process / "stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None  # The process ended after the listing.
    # The process name, in parentheses, may contain spaces.
    return int(text.rpartition(")")[2].split()[1])


class EntryTest(unittest.TestCase):
    def test_uses_no_io_uring_and_starts_no_process(self):
        """Guards against event loops and libraries that use either."""
        with running_fleet() as fleet:
            fleet.start_platform()
            entry = fleet.start_entry("e0", "dc1")
            fleet.wait_ready(entry)
            pid = entry.process.pid
            links = descriptor_targets(pid)
            own_children = child_pids(os.getpid())
            self.assertEqual(child_pids(pid), [])
        for name in ("uring", "/dev/shm"):
            self.assertEqual([link for link in links if name in link], [])
        # Both helpers find what is there.
        self.assertTrue(any("socket:" in link for link in links))
        self.assertIn(pid, own_children)
