"""Admin application: changes, views and the HTTP status of each outcome."""

import time
import unittest

from aiohttp.test_utils import TestClient, TestServer

from sardinedrift import changes as ch
from sardinedrift import metrics
from sardinedrift.exceptions import LogUnavailable, PublishUnknown
from sardinedrift.identifiers import Identity
from sardinedrift.messages import Exchange
from sardinedrift.timeline import EventKind, Timeline
from tests.adminserver import FakeEntry
from tests.fakes import SystemClock
from tests.sample_changes import put_data_centre


def put_team(change_id="c1", revision=0, **fields):
    row = {"type": "PutTeam", "change_id": change_id}
    row.update(expected_revision=revision, team_id="red", share=1, limit=4)
    return {**row, **fields}


class AdminTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.entry = FakeEntry()
        self.client = TestClient(TestServer(self.entry.application))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def post(self, *changes, **body):
        body["changes"] = changes
        response = await self.client.post("/v1/changes", json=body)
        return response.status, await response.json()

    async def get(self, path):
        response = await self.client.get(path)
        return response.status, await response.json()

    async def test_accepted_change_is_read_back(self):
        status, reply = await self.post(put_team())
        self.assertEqual(status, 200)
        self.assertEqual(reply["results"][0]["revision"], 1)
        status, reply = await self.get("/v1/teams/red")
        self.assertEqual((status, reply["item"]["limit"]), (200, 4))
        _, reply = await self.get("/v1/allowances/red")
        self.assertEqual(reply["item"]["unallocated"], 4)

    async def test_lost_race_is_409_with_the_field(self):
        await self.post(put_team())
        status, reply = await self.post(put_team("c2"))
        self.assertEqual(status, 409)
        result = reply["results"][0]
        self.assertEqual(result["code"], "revision_conflict")
        self.assertEqual(result["field"], "expected_revision")

    async def test_atomic_batch_is_all_or_nothing(self):
        rejected = put_team("c2", revision=7)
        status, _ = await self.post(put_team(), rejected, atomic=True)
        self.assertEqual(status, 409)
        status, _ = await self.get("/v1/teams/red")
        self.assertEqual(status, 404)

    async def test_malformed_posts_name_the_field(self):
        """Guards against malformed changes that are appended or ignored."""
        wrong = {
            "changes[0].limit": put_team(limit="many"),
            "changes[0].limt": put_team(limt=3),
            "changes[0].team_id": {
                k: v for k, v in put_team().items() if k != "team_id"
            },
            "changes[0].type": put_team(type="PutTeem"),
        }
        for field, change in wrong.items():
            status, reply = await self.post(change)
            self.assertEqual((status, reply["field"]), (400, field))
        status, reply = await self.post(put_team(), put_team())
        self.assertEqual(reply["field"], "changes[1].change_id")
        status, reply = await self.post(put_team(), deadline=1.0)
        self.assertEqual((status, reply["field"]), (400, "deadline"))
        self.assertEqual(self.entry.publisher.posted, [])

    async def test_changes_of_entries_are_not_taken_from_operators(self):
        """Guards against operators who acknowledge a drain for an entry."""
        ack = {"type": "DrainAck", "change_id": "c1", "entry_id": "e1"}
        status, reply = await self.post({**ack, "instance_id": "m", "drain": 1})
        self.assertEqual((status, reply["field"]), (400, "changes[0].type"))
        gone = {"type": "EntryGone", "change_id": "c2", "entry_id": "e9"}
        status, _ = await self.post({**gone, "evidence": "removed"})
        self.assertEqual(status, 409)

    async def test_log_outage_and_unknown_outcome_differ(self):
        self.entry.publisher.error = LogUnavailable("down")
        status, reply = await self.post(put_team())
        self.assertEqual((status, reply["code"]), (503, "log_unavailable"))
        self.entry.publisher.error = PublishUnknown("not seen")
        status, reply = await self.post(put_team())
        self.assertEqual((status, reply["code"]), (504, "unknown"))
        self.assertIn("same change id", reply["message"])

    async def test_digests_are_not_shown(self):
        await self.post(put_team())
        digest = "ab" * 32
        key = {"type": "GrantKey", "change_id": "c2", "expected_revision": 0}
        status, _ = await self.post(
            {**key, "key_id": "k1", "team_id": "red", "digest": digest}
        )
        self.assertEqual(status, 200)
        for path in ("/v1/keys", "/v1/keys/k1"):
            text = await (await self.client.get(path)).text()
            self.assertIn("k1", text)
            self.assertNotIn(digest, text)

    async def test_pages_and_filters(self):
        names = [f"t{index}" for index in range(5)]
        for name in names:
            await self.post(put_team(name, team_id=name))
        _, first = await self.get("/v1/teams?limit=3")
        _, second = await self.get(f"/v1/teams?limit=3&after={first['next']}")
        rows = first["items"] + second["items"]
        self.assertEqual([row["team_id"] for row in rows], names)
        self.assertIsNone(second["next"])
        _, reply = await self.get("/v1/teams?team_id=t3")
        self.assertEqual(len(reply["items"]), 1)
        status, reply = await self.get("/v1/teams?colour=red")
        self.assertEqual((status, reply["field"]), (400, "colour"))

    async def test_every_collection_can_be_read(self):
        status, reply = await self.get("/v1/nothing")
        self.assertEqual(status, 404)
        for name in reply["message"].partition("there are: ")[2].split(", "):
            status, reply = await self.get(f"/v1/{name}")
            self.assertEqual((status, reply["items"]), (200, []), name)

    async def test_status_names_who_is_waited_for(self):
        self.entry.follower.append(
            [
                ch.EntryJoin(
                    change_id=name,
                    entry_id=name,
                    data_centre_id="dc1",
                    address=f"127.0.0.1:{port}",
                )
                for port, name in enumerate(("e1", "e2"), 1)
            ]
        )
        now = time.time()
        self.entry.peers.live_by_data_centre["dc1"] = ["e1", "e2"]
        self.entry.peers.exchange_by_entry["e2"] = Exchange(
            entry_id="e2",
            data_centre_id="dc1",
            address="127.0.0.1:2",
            member=False,
            ready=True,
            stopping=False,
            offset=-1,
            current_at=now,
        )
        _, reply = await self.get("/v1/status")
        self.assertTrue(reply["ready"])
        offsets = {
            row["entry_id"]: row["offset"]
            for row in reply["data_centres"]["dc1"]
        }
        self.assertEqual(offsets, {"e1": 0, "e2": -1})
        join = reply["waiting_joins"][0]
        self.assertEqual((join["entry_id"], join["waiting"]), ("e2", ["e1"]))

    async def test_not_ready_gives_the_reason_and_publishes_nothing(self):
        self.entry.reason = "neither the log nor a peer was reached"
        status, reply = await self.get("/ready")
        self.assertEqual((status, reply["reason"]), (503, self.entry.reason))
        status, reply = await self.post(put_team())
        self.assertEqual((status, reply["code"]), (503, "not_ready"))
        self.assertEqual(self.entry.publisher.posted, [])

    async def test_merged_timeline_names_silent_entries(self):
        """Guards against an incomplete timeline that looks complete."""
        for name in ("e2", "e3"):
            self.entry.peers.live_by_data_centre["dc1"].append(name)
        self.entry.follower.append([put_data_centre()])
        other = Timeline(Identity("e2", "dc1", "127.0.0.1:2"), SystemClock())
        other.record(EventKind.ENTRY_READY, 0)
        self.entry.peers.timeline_by_entry["e2"] = other
        self.entry.events.record(EventKind.MOVE_STATE, 1, move_id="m1")
        _, reply = await self.get("/v1/timeline?all=1")
        entries = [event["entry_id"] for event in reply["events"]]
        self.assertEqual(entries, ["e2", "e1"])
        self.assertEqual(reply["unreachable"], ["e3"])
        _, reply = await self.get("/v1/timeline?move_id=m1")
        self.assertEqual(len(reply["events"]), 1)
        status, _ = await self.get("/v1/timeline?kind=nonsense")
        self.assertEqual(status, 400)

    async def test_metrics_show_age_and_offset(self):
        await self.post(put_team())
        self.entry.follower.current_at = time.time() - 100
        text = await (await self.client.get("/metrics")).text()
        values = dict(
            line.rsplit(" ", 1)
            for line in text.splitlines()
            if not line.startswith("#")
        )
        age = float(values["sardinedrift_configuration_age"])
        self.assertGreaterEqual(age, 100)
        self.assertEqual(
            float(values["sardinedrift_configuration_offset"]), 0.0
        )
        limit = values['sardinedrift_team_limit{team="red"}']
        self.assertEqual(float(limit), 4.0)

    def test_team_labels_are_bounded(self):
        """Guards against unbounded metric series as teams come and go."""
        registry = metrics.Metrics()
        for index in range(metrics.MAX_TEAMS + 50):
            registry.count_admitted(f"t{index}")
        text = registry.render().decode()
        series = text.count("sardinedrift_requests_admitted_total{")
        self.assertEqual(series, metrics.MAX_TEAMS + 1)
        self.assertIn('{team="other"} 50.0', text)
