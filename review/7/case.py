"""Heartbeats of a target are cut off while it resets connections above its limit."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
from fleet import TARGET, KeyJudge, Target, cluster, read_keys, rule, run  # noqa: E402

MAX_CONNECTIONS = 12
CAPACITY = 18
CUT_S = 10.0
WORK_S = 0.3
REQUEST_INTERVAL_S = 0.008


class LimitedTarget(Target):
    """Accepts `MAX_CONNECTIONS`; the opening of any further one is answered with a reset."""

    listening_ = True

    async def connection(self, reader, writer):
        if len(self.connections_) + 1 >= MAX_CONNECTIONS:
            self.server_.close()
            self.listening_ = False
        try:
            await super().connection(reader, writer)
        finally:
            if not self.listening_ and self.up and len(self.connections_) < MAX_CONNECTIONS:
                self.listening_ = True
                self.server_ = await asyncio.start_server(
                    self.connection, self.vm.host, TARGET, limit=1 << 26, backlog=64)


async def play(record, fleet, trouble):
    await fleet.prepare(["bench", "bench", "bench", "allot"])
    fleet.write_configuration(
        [{"host": "desk.example", "rules": [
            rule("r-read", "idempotent", "bench", "/read/"),
            rule("r-book", "non_idempotent", "allot", "/book/"),
        ]}],
        [{**cluster("bench", sharded=True), "max-conns": MAX_CONNECTIONS}, cluster("allot")],
    )
    fleet.start_processes()
    for number, vm in enumerate(fleet.vms):
        kind = LimitedTarget if vm.service == "bench" else Target
        vm.target = kind(record, vm, vm.service, f"i-{number}", sharded=vm.service == "bench",
                         capacity=CAPACITY, work_s=WORK_S)
        await vm.target.start()
    await fleet.await_ready()
    await fleet.await_keys("bench")
    judge = KeyJudge(record, [vm.target for vm in fleet.vms if vm.service == "bench"])
    answers = []
    tasks = [asyncio.create_task(judge.watch()),
             asyncio.create_task(read_keys(fleet, REQUEST_INTERVAL_S, answers))]
    await asyncio.sleep(8.0)
    record("steady", shared_s=f"{judge.longest_s:.3f}", answers=len(answers),
           served=answers.count(200))
    target = fleet.vms[0].target
    if trouble:
        target.beats = False
        record("heartbeats-cut", instance=target.instance)
    await asyncio.sleep(CUT_S)
    target.beats = True
    record("heartbeats-back", instance=target.instance)
    await asyncio.sleep(4.0)
    for task in tasks:
        task.cancel()
    begun = {name: judge.begun_on_shared(name) for name in ("i-0", "i-1", "i-2")}
    record("summary", longest_shared_s=f"{judge.longest_s:.3f}", worst=judge.worst,
           begun_on_shared_keys=begun, answers=len(answers), served=answers.count(200))
    return judge.broken()


run(play, __file__)
