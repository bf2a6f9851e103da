"""DRAIN after a restart of the node beside a target that has left: see claim.txt."""

import http.client
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
import fleet  # noqa: E402

DRAIN_TIMEOUT = 2.0  # `drain-timeout` of the settings.
TOUCH = 3.0  # `touch` of the settings.
CALM_SECONDS = 4.0
HEARTBEAT_DELAY = 3.0  # Of the last heartbeat before the leave.
RESTART_DELAY = 0.5  # From the kill of a process to its next start.
SERVES_AFTER_LEAVE = 12.0  # "at times many seconds"
MAX_LATE_REQUESTS = 0


class LeavingTarget(fleet.Target):
    """Never reports `draining`: it leaves first, goes on serving, and exits."""

    left_ = None
    delays_next_heartbeat_ = False
    delayed_ = None

    def __init__(self, *arguments, **options):
        self.arrivals_ = []
        super().__init__(*arguments, **options)

    def post_heartbeat(self, body):
        if self.left_ is not None:
            return None
        if self.delays_next_heartbeat_:
            self.delays_next_heartbeat_ = False
            self.delayed_ = body
            self.record_.write("heartbeat-delayed", target=self.instance_, sequence=body["status"]["sequence"])
            threading.Thread(target=self.deliver_late, args=(body,), daemon=True).start()
            time.sleep(fleet.HEARTBEAT_TIMEOUT)
            return None
        return super().post_heartbeat(body)

    def deliver_late(self, body):
        time.sleep(HEARTBEAT_DELAY)
        answer = super().post_heartbeat(body)
        self.record_.write(
            "heartbeat-arrived", target=self.instance_, sequence=body["status"]["sequence"], answered=answer is not None
        )

    def leave(self):
        connection = http.client.HTTPConnection(self.host_, fleet.CONTROL_PORT, timeout=1)
        connection.request("POST", f"/-/instances/{self.instance_}/leave")
        status = connection.getresponse().status
        connection.close()
        self.left_ = time.monotonic()
        self.record_.write("left", target=self.instance_, status=status)

    def handle(self, request):
        arrived = time.monotonic()
        answer = super().handle(request)
        if answer[0] != 421:
            self.arrivals_.append((arrived, request[2].get("x-request-id")))
        return answer


def play(record, trouble):
    rules = [
        fleet.route("lot-assign", "non_idempotent", "/lot/", "allot"),
        fleet.route("stock-report", "idempotent", "/stock/", "dispatch"),
    ]
    system = fleet.Fleet(record, {"allot": 3, "dispatch": 3}, set(), rules, target_class=LeavingTarget)
    target, node = system.targets_[0], system.nodes_[0]
    try:
        system.await_ready()
        stop = threading.Event()

        def call(host):
            while not stop.is_set():
                fleet.send(record, host, "POST", "/lot/9", None, b"pairs=2")
                time.sleep(0.02)

        # Callers on machines that nothing disturbs, one in each zone.
        clients = [threading.Thread(target=call, args=(other.host_,)) for other in system.nodes_[3:] for _ in range(3)]
        for client in clients:
            client.start()
        time.sleep(CALM_SECONDS)
        target.delays_next_heartbeat_ = trouble
        while trouble and target.delayed_ is None:
            time.sleep(0.01)
        time.sleep(0.2)
        target.leave()
        time.sleep(0.2)
        node.process_.kill()
        node.process_.wait()
        record.write("killed", node=node.name_)
        time.sleep(RESTART_DELAY)
        node.start()
        started = time.monotonic()
        record.write("started", node=node.name_)
        time.sleep(max(0.0, target.left_ + SERVES_AFTER_LEAVE - time.monotonic()))
        target.listener_.close()
        stop.set()
        for client in clients:
            client.join()
    finally:
        system.stop()
    return broken_rules(record, target, started)


def broken_rules(record, target, started):
    """Counts only requests that arrive when the restarted machine is in touch again, too."""
    from_time = max(target.left_ + DRAIN_TIMEOUT, started + TOUCH)
    late = [number for arrived, number in target.arrivals_ if arrived > from_time]
    record.write("late", count=len(late), ids=late[:20])
    if len(late) <= MAX_LATE_REQUESTS:
        return []
    return [f"DRAIN: {len(late)} requests reached a target over {DRAIN_TIMEOUT} s after its leave was acknowledged"]


fleet.run_case(FOLDER, play)
