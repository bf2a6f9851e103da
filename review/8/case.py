"""Heartbeats of another writer, in which a field is missing, at the control address of one VM."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
from fleet import CONTROL, KeyJudge, Target, call, cluster, read_keys, rule, run  # noqa: E402

FOREIGN_INTERVAL_S = 0.4
FOREIGN_S = 5.0
REQUEST_INTERVAL_S = 0.02


async def write_foreign_heartbeats(record, vm):
    """Calls as a target of the service would, with an id of its own and without a zone."""
    body = {
        "addr": f"{vm.host}:7399",
        "born": int(time.time() * 1000),
        "info": {"service": vm.service, "version": "v1", "capacity": 1},
        "status": {"state": "ready", "sequence": 0, "cold-left": "0ms"},
        "holds": [],
        "freed": [],
    }
    until = time.monotonic() + FOREIGN_S
    while time.monotonic() < until:
        body["status"]["sequence"] += 1
        answer = await call(
            vm.host,
            CONTROL,
            "POST",
            "/-/instances/i-other/heartbeat",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
            timeout=1.0,
        )
        record("foreign-heartbeat", vm=vm.name, status=answer and answer.status,
               answer=answer and answer.body.decode())
        await asyncio.sleep(FOREIGN_INTERVAL_S)


async def play(record, fleet, trouble):
    await fleet.prepare(["bench", "bench", "bench", "allot"])
    fleet.write_configuration(
        [{"host": "desk.example", "rules": [
            rule("r-read", "idempotent", "bench", "/read/"),
            rule("r-book", "non_idempotent", "allot", "/book/"),
        ]}],
        [cluster("bench", sharded=True), cluster("allot")],
    )
    fleet.start_processes()
    for number, vm in enumerate(fleet.vms):
        vm.target = Target(record, vm, vm.service, f"i-{number}", sharded=vm.service == "bench")
        await vm.target.start()
    await fleet.await_ready()
    await fleet.await_keys("bench")
    judge = KeyJudge(record, [vm.target for vm in fleet.vms if vm.service == "bench"])
    answers = []
    tasks = [asyncio.create_task(judge.watch()),
             asyncio.create_task(read_keys(fleet, REQUEST_INTERVAL_S, answers))]
    await asyncio.sleep(6.0)
    before = judge.longest_s
    record("steady", shared_s=f"{before:.3f}", answers=len(answers))
    if trouble:
        await write_foreign_heartbeats(record, fleet.vms[0])
    else:
        await asyncio.sleep(FOREIGN_S)
    await asyncio.sleep(6.0)
    for task in tasks:
        task.cancel()
    late = answers[-300:]
    record("summary", longest_shared_s=f"{judge.longest_s:.3f}", worst=judge.worst,
           served_at_end=f"{late.count(200)}/{len(late)}")
    return judge.broken()


run(play, __file__)
