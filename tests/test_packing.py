"""Choice of workers: teams by dominant share, workers by best fit."""

import collections
import unittest

from sardinedrift import changes as ch
from sardinedrift.identifiers import JobStep
from sardinedrift.packing import Packing
from tests.test_fold import Log, cid, join, put_data_centre, put_pool
from tests.test_placement import place, progress, put_worker, take_lease


def put_team(team_id, share):
    return ch.PutTeam(
        change_id=cid(),
        expected_revision=0,
        team_id=team_id,
        share=share,
        limit=100,
    )


def submit(job_id, team_id, **size):
    return ch.SubmitJob(
        change_id=cid(),
        job_id=job_id,
        team_id=team_id,
        pool_id="pairing",
        **size,
    )


class PackingTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.log.append(put_team("red", 1.0), put_team("blue", 2.0))
        self.log.append(put_data_centre(), put_pool(), join("e1"))

    def add_workers(self, **cores_by_id):
        for instance_id, cores in cores_by_id.items():
            self.log.append(put_worker(instance_id, cores=cores, memory_gb=64))
            self.log.append(take_lease(instance_id))

    def places(self):
        state = self.log.state
        packing = Packing(
            state,
            "pairing",
            list(state.instances_of("pairing")),
            lambda worker: 1000,
        )
        jobs = list(state.tables.job_by_id.values())
        waiting = [job for job in jobs if job.instance_id is None]
        return list(packing.places(waiting, jobs))

    def test_teams_get_dominant_shares_by_weight(self):
        """Guards against a team that gets all by asking first."""
        self.add_workers(w0=32, w1=32)
        for number in range(64):
            self.log.append(submit(f"r{number}", "red", cores=2, memory_gb=1))
        # What dominates for blue is memory: 4 of 128 GB, like 2 of 64 cores.
        for number in range(64):
            self.log.append(submit(f"b{number}", "blue", cores=1, memory_gb=4))
        count = collections.Counter(
            each.job_id[0] for each in self.places()[:24]
        )
        self.assertEqual(count, {"r": 8, "b": 16})

    def test_chooses_the_worker_with_least_left(self):
        """Guards against large workers filled with small jobs."""
        self.add_workers(w0=32, w1=8)
        self.log.append(submit("small", "red", cores=4, memory_gb=1))
        self.log.append(submit("large", "red", cores=32, memory_gb=1))
        by_job = {each.job_id: each.instance_id for each in self.places()}
        self.assertEqual(by_job, {"small": "w1", "large": "w0"})

    def test_avoids_a_worker_on_which_the_job_failed(self):
        """Guards against all tries of a job on one bad worker."""
        self.add_workers(w0=32, w1=8)
        self.log.append(submit("j0", "red", cores=4, memory_gb=1))
        self.log.append(place(self.log, "j0", "w1"))
        self.log.append(progress(self.log, "j0", JobStep.FAILED))
        self.assertEqual(self.places(), [("j0", "w0")])
        self.log.append(place(self.log, "j0", "w0"))
        self.log.append(progress(self.log, "j0", JobStep.FAILED))
        self.assertEqual(len(self.places()), 1)
