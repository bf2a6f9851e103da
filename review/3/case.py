"""REFUSED and TWICE after a late second copy of a rejection: see claim.txt."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand_ins"))
import fleet  # noqa: E402

TARGETS = 12
DRAINED = 10
CALM_SECONDS = 4.0
SECONDS_BETWEEN_DRAINS = 3.5
SECONDS_BETWEEN_REQUESTS = 0.015
CLIENTS = 16
MAX_EXTRA_SHARE = 0.03  # Of a target's answers: the dose of `garble` with `extra late` in the site file.
MAX_ANSWER_DELAY_SECONDS = 0.3  # Of the answers to heartbeats on their way; they count if they arrive within a second.
FURTHER_DELAY_SECONDS = 0.012  # After the first request that came too early.


class RepeatingTarget(fleet.Target):
    """Sends a second copy of some rejections, late, where the response to the next request is expected."""

    repeats_ = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.extras_ = 0
        self.rejected_ = threading.Event()

    def apply(self, body, answer, sent):
        """An answer that grants further keys is on its way until a request has come too early for it."""
        if self.rows_ and fleet.subtract(answer.get("holds", []), self.rows_):
            self.rejected_.clear()
            self.rejected_.wait(MAX_ANSWER_DELAY_SECONDS)
            time.sleep(FURTHER_DELAY_SECONDS)
        super().apply(body, answer, sent)

    def before_answer(self, connection, state, request):
        copy = state.pop("copy", None)
        if copy is not None:
            self.record_.write("extra", target=self.instance_, copy_of=state["id"], before=request[2]["x-request-id"])
            connection.sendall(copy)

    def after_answer(self, state, request, status, data):
        if status == 421:
            self.rejected_.set()
        if self.repeats_ and status == 421 and self.extras_ + 1 <= MAX_EXTRA_SHARE * self.answered_requests_:
            self.extras_ += 1
            state["copy"] = data
            state["id"] = request[2]["x-request-id"]


def play(record, trouble):
    # The example of the pages has 2 attempts. With 3, the request is sent once more and runs twice.
    rules = [
        fleet.route("trust-bill", "non_idempotent", "/bill/", "ledger-house", timeout="2000ms", attempts=2),
        fleet.route("trust-credit", "non_idempotent", "/credit/", "ledger-house", timeout="2000ms", attempts=3),
    ]
    system = fleet.Fleet(record, {"ledger-house": TARGETS}, {"ledger-house"}, rules, target_class=RepeatingTarget)
    answers = {}
    try:
        system.await_ready()
        stop = threading.Event()

        def call():
            while not stop.is_set():
                node = random.choice(system.nodes_)
                key = random.randrange(fleet.LAST_KEY + 1)
                path = random.choice(["/bill/7", "/bill/7", "/credit/7"])
                number, status, _ = fleet.send(record, node.host_, "POST", path, key, b"amount=12", 2000)
                answers[number] = status
                time.sleep(SECONDS_BETWEEN_REQUESTS)

        clients = [threading.Thread(target=call) for _ in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(CALM_SECONDS)
        for target in system.targets_:
            target.repeats_ = trouble
        for target in system.targets_[:DRAINED]:
            target.draining_ = True
            time.sleep(SECONDS_BETWEEN_DRAINS)
        stop.set()
        for client in clients:
            client.join()
    finally:
        system.stop()
    return broken_rules(record, system.targets_, answers)


def broken_rules(record, targets, answers):
    broken = []
    served = sum(1 for status in answers.values() if status == 200)
    record.write("total", requests=len(answers), served=served)
    for number, status in answers.items():
        runs = sum(target.runs_.get(number, 0) for target in targets)
        if status in (408, 421, 429, 503) and runs > 0:
            broken.append(f"REFUSED: request {number} was answered {status} and has run")
        if runs > 1:
            broken.append(f"TWICE: request {number} ran {runs} times")
    return broken


fleet.run_case(FOLDER, play)
