"""OWNER after a heartbeat of another writer: see claim.txt."""

import json
import http.client
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
import fleet  # noqa: E402

CALM_SECONDS = 4.0
WATCH_SECONDS = 8.0


def post_foreign_heartbeat(record, host):
    """Sends one heartbeat whose service no configuration names."""
    body = {
        "addr": f"{host}:{fleet.TARGET_PORT}",
        "born": int(time.time() * 1000),
        "info": {"service": "pano77z", "version": "v1", "zone": "hu-central-a", "capacity": 18},
        "status": {"state": "ready", "sequence": 1, "cold-left": "0ms"},
    }
    connection = http.client.HTTPConnection(host, fleet.CONTROL_PORT, timeout=1)
    connection.request(
        "POST", "/-/instances/i-0000beef/heartbeat", json.dumps(body), {"Content-Type": "application/json"}
    )
    status = connection.getresponse().status
    record.write("foreign-heartbeat", node=host, body=json.dumps(body), status=status)
    connection.close()


def play(record, trouble):
    rules = [fleet.route("lens-lookup", "idempotent", "/lens/", "bench")]
    system = fleet.Fleet(record, {"bench": 4}, {"bench"}, rules)
    try:
        system.await_ready()
        check = fleet.OverlapCheck(record, system.targets_)
        stop = threading.Event()

        def call():
            while not stop.is_set():
                node = random.choice(system.nodes_)
                fleet.send(record, node.host_, "GET", "/lens/1", key=random.randrange(fleet.LAST_KEY + 1))
                time.sleep(0.02)

        clients = [threading.Thread(target=call) for _ in range(4)]
        for client in clients:
            client.start()
        time.sleep(CALM_SECONDS)
        if trouble:
            post_foreign_heartbeat(record, system.nodes_[0].host_)
        time.sleep(WATCH_SECONDS)
        stop.set()
        for client in clients:
            client.join()
        check.stop()
        return [f"OWNER: {pair[0]} and {pair[1]} held keys {keys} for over 0.5 s" for pair, keys in check.broken_]
    finally:
        system.stop()


fleet.run_case(FOLDER, play)
