"""Packing: selects teams by dominant share and workers by best fit."""

import collections
import unittest

from sardinedrift.identifiers import JobStep
from sardinedrift.packing import Packing
from tests.sample_changes import (
    Log,
    join,
    place,
    progress,
    put_data_centre,
    put_pool,
    put_team,
    put_worker,
    submit,
    take_lease,
)


class PackingTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.log.append(put_team("red", limit=100))
        self.log.append(put_team("blue", limit=100, share=2.0))
        self.log.append(put_data_centre(), put_pool(), join("e1"))

    def add_workers(self, **cores_by_id):
        for instance_id, cores in cores_by_id.items():
            self.log.append(put_worker(instance_id, cores=cores, memory_gb=64))
            self.log.append(take_lease(instance_id))

    def placements(self):
        state = self.log.state
        packing = Packing(
            state,
            "pairing",
            list(state.instances_of("pairing")),
            lambda worker: 1000,
        )
        jobs = list(state.tables.job_by_id.values())
        waiting = [job for job in jobs if job.instance_id is None]
        return list(packing.placements(waiting, jobs))

    def test_teams_get_dominant_shares_by_weight(self):
        """Guards against a team that gets all workers by submitting first."""
        self.add_workers(w0=32, w1=32)
        for number in range(64):
            self.log.append(submit(f"r{number}", cores=2, memory_gb=1))
        # Memory is dominant for blue: 4 of 128 GB, like 2 of 64 cores.
        for number in range(64):
            self.log.append(
                submit(f"b{number}", cores=1, memory_gb=4, team_id="blue")
            )
        count = collections.Counter(
            each.job_id[0] for each in self.placements()[:24]
        )
        self.assertEqual(count, {"r": 8, "b": 16})

    def test_chooses_the_worker_with_least_left(self):
        """Guards against filling large workers with small jobs."""
        self.add_workers(w0=32, w1=8)
        self.log.append(submit("small", cores=4, memory_gb=1))
        self.log.append(submit("large", cores=32, memory_gb=1))
        by_job = {each.job_id: each.instance_id for each in self.placements()}
        self.assertEqual(by_job, {"small": "w1", "large": "w0"})

    def test_avoids_a_worker_on_which_the_job_failed(self):
        """Guards against repeating a job only on one faulty worker."""
        self.add_workers(w0=32, w1=8)
        self.log.append(submit("j0", cores=4, memory_gb=1))
        self.log.append(place(self.log, "j0", "w1"))
        self.log.append(progress(self.log, "j0", JobStep.FAILED))
        self.assertEqual(self.placements(), [("j0", "w0")])
        self.log.append(place(self.log, "j0", "w0"))
        self.log.append(progress(self.log, "j0", JobStep.FAILED))
        self.assertEqual(len(self.placements()), 1)
