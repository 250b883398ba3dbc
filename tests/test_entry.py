"""A running entry: what it opens, and what it starts."""

import os
import pathlib
import unittest

from standins.fleet import running_fleet


def descriptors(pid: int) -> list[str]:
    """Returns what the file descriptors of a process refer to."""
    links = []
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            links.append(os.readlink(path))
        except FileNotFoundError:
            continue  # Closed since the directory was read.
    return links


def children(pid: int) -> list[int]:
    """Returns the processes whose parent is a process."""
    return [
        int(each.name)
        for each in pathlib.Path("/proc").iterdir()
        if each.name.isdigit() and _parent_of(each) == pid
    ]


def _parent_of(process: pathlib.Path) -> int | None:
    try:
        text = (process / "stat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return None  # Ended since the directory was read.
    # The name in parentheses may contain spaces.
    return int(text.rpartition(")")[2].split()[1])


class EntryTest(unittest.TestCase):
    def test_uses_no_io_uring_and_starts_nothing(self):
        """Guards against a loop or library that needs either."""
        with running_fleet() as fleet:
            fleet.start_platform()
            entry = fleet.start_entry("e0", "dc1")
            fleet.wait_ready(entry)
            pid = entry.process.pid
            links = descriptors(pid)
            own = children(os.getpid())
            self.assertEqual(children(pid), [])
        for name in ("uring", "/dev/shm"):
            self.assertEqual([each for each in links if name in each], [])
        # The checks see what they look for.
        self.assertTrue(any("socket:" in each for each in links))
        self.assertIn(pid, own)
