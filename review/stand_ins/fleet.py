"""Stand-ins for the platform: its store, targets, clients, and the start of router nodes as separate processes.

They follow PROTOCOL.md and DEPLOY.md. Where those pages are silent, they behave like a sound server or client. All
addresses are loopback addresses, and all events are written to a record from which each case checks its rule.
"""

import base64
import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "sassafrasbay")

HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit codes of a case.

HEARTBEAT_INTERVAL = 0.87
RELEASE_HEARTBEAT_INTERVAL = 0.09  # A target reports within 100 ms until it has released what was left out.
HEARTBEAT_TIMEOUT = 1.0  # A later answer doesn't acknowledge the heartbeat.
MAX_ACKNOWLEDGEMENT_BYTES = 4096
APPEND_SECONDS = 0.004
LAST_KEY = 65535

CALLERS_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, TARGET_PORT, METRICS_PORT = 7001, 7002, 7003, 7620, 8000, 9464
HOST = "bench.example"


class Record:
    """Writes each event with its time to a file."""

    def __init__(self, path):
        self.file_ = open(path, "w", encoding="utf-8")
        self.lock_ = threading.Lock()
        self.start_ = time.monotonic()

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock_:
            if not self.file_.closed:
                self.file_.write(f"{time.monotonic() - self.start_:9.3f} {event} {text}\n")
                self.file_.flush()

    def close(self):
        with self.lock_:
            self.file_.close()


class Store:
    """The platform's metadata store: keyed topics with one partition, conditional appends and long polls."""

    def __init__(self):
        self.topics_ = {}
        self.changed_ = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def reply(self, status, body, kind="application/json"):
                self.send_response(status)
                self.send_header("Content-Type", kind)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def handle_call(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                try:
                    self.reply(*store.call(url.path, query, body))
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = handle_call

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, client_address):
                """Connections of processes that have been killed end with an error."""

        self.server_ = Server(("127.0.0.1", 0), Handler)
        self.address_ = f"127.0.0.1:{self.server_.server_address[1]}"
        threading.Thread(target=self.server_.serve_forever, daemon=True).start()

    def call(self, path, query, body):
        topic = query.get("topic", "")
        if path == "/-/log-append":
            time.sleep(APPEND_SECONDS)
            return self.append_call(topic, query, body)
        if path == "/-/log-read":
            return self.read_call(topic, query)
        if path == "/-/log-newest":
            with self.changed_:
                records = self.topics_.setdefault(topic, [])
                newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
                items = [
                    {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                    for key, (value, offset) in sorted(newest.items())
                    if value and key.decode() > query.get("after", "")
                ]
                answer = {"items": items, "has-more": False, "end": len(records)}
            return 200, json.dumps(answer).encode()
        return 404, b"{}"

    def append_call(self, topic, query, body):
        with self.changed_:
            records = self.topics_.setdefault(topic, [])
            if "at" in query and int(query["at"]) != len(records):
                return 412, json.dumps({"end": len(records)}).encode()
            first = len(records)
            position = 0
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + length]
                records.append((content[1 : 1 + content[0]], content[1 + content[0] :]))
                position += 4 + length
            self.changed_.notify_all()
            return 200, json.dumps({"offset": first, "end": len(records)}).encode()

    def read_call(self, topic, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        with self.changed_:
            records = self.topics_.setdefault(topic, [])
            while len(records) <= start and time.monotonic() < until:
                self.changed_.wait(until - time.monotonic())
            parts = [struct.pack(">QQ", len(records), 0)]
            for key, value in records[start:]:
                parts.append(struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value)
        return 200, b"".join(parts), "application/octet-stream"

    def put(self, topic, key, value):
        with self.changed_:
            self.topics_.setdefault(topic, []).append((key.encode(), value.encode()))
            self.changed_.notify_all()


def route(name, kind, prefix, service, timeout="800ms", attempts=2, priority=1):
    return {
        "name": name,
        "kind": kind,
        "slo": "300ms",
        "priority": priority,
        "match": {"path-prefix": prefix},
        "action": {"service": service, "timeout": timeout, "max-attempts": attempts},
    }


def configuration(rules, sharded, version=1):
    """The operator's configuration with the limits that `fleetbench wire` shows."""
    services = sorted({rule["action"]["service"] for rule in rules})
    return json.dumps(
        {
            "version": f"{version:08x}",
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout": "3000ms",
                "idle-timeout": "15000ms",
            },
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [
                {"name": name, "health-path": "/healthz", "max-conns": 130, "protocol": "h1", "sharded": name in sharded}
                for name in services
            ],
        }
    )


def subtract(rows, others):
    """The parts of `rows` (lists that begin with first and last key) that are in none of `others`."""
    parts = [list(row) for row in rows]
    for other in others:
        rest = []
        for row in parts:
            if other[1] < row[0] or other[0] > row[1]:
                rest.append(row)
                continue
            if row[0] < other[0]:
                rest.append([row[0], other[0] - 1, *row[2:]])
            if row[1] > other[1]:
                rest.append([other[1] + 1, row[1], *row[2:]])
        parts = rest
    return parts


def intersect(rows, others):
    return [
        [max(row[0], other[0]), min(row[1], other[1])]
        for row in rows
        for other in others
        if row[0] <= other[1] and other[0] <= row[1]
    ]


class Target:
    """The upstream beside one node. Runs a request only while it holds the request's key, if it is sharded."""

    def __init__(self, record, host, service, zone, sharded, work_seconds=0.03, slots=18):
        self.record_ = record
        self.host_ = host
        self.service_ = service
        self.zone_ = zone
        self.sharded_ = sharded
        self.work_seconds_ = work_seconds
        self.slots_ = slots
        self.instance_ = f"i-{random.getrandbits(32):08x}"
        self.born_ = int(time.time() * 1000)
        self.sequence_ = 0
        self.lock_ = threading.RLock()
        self.running_keys_ = []
        self.rows_ = []  # Held rows: first key, last key, fencing token.
        self.working_ = []  # Rows that were withdrawn while requests on them run.
        self.freed_ = []  # Released rows that no acknowledged heartbeat has reported.
        self.held_until_ = 0.0
        self.runs_ = {}  # Number of runs by request id.
        self.answered_requests_ = 0
        self.draining_ = False
        self.drain_acknowledged_ = None
        self.stopped_ = False
        self.listener_ = socket.create_server((host, TARGET_PORT), backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def start_heartbeats(self):
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def accept(self):
        while not self.stopped_:
            try:
                connection, _ = self.listener_.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        state = {}
        try:
            while True:
                request = read_request(reader)
                if request is None:
                    return
                self.before_answer(connection, state, request)
                status, headers, body = self.handle(request)
                data = encode_response(status, headers, body)
                connection.sendall(data)
                self.answered_requests_ += 1
                self.after_answer(state, request, status, data)
        except OSError:
            return
        finally:
            reader.close()
            connection.close()

    def before_answer(self, connection, state, request):
        """For faults: called when a request has been read."""

    def after_answer(self, state, request, status, data):
        """For faults: called when a response has been sent."""

    def handle(self, request):
        method, path, headers, body = request
        number = headers.get("x-request-id", "")
        common = [("X-Request-Id", number), ("X-Instance-Id", self.instance_)]
        if headers.get("x-expect-instance", self.instance_) != self.instance_:
            return 421, common + [("X-Not-Executed", "1")], b"other instance\n"
        key = int(headers.get("x-shard-key", -1))
        with self.lock_:
            self.expire()
            if self.sharded_ and not intersect([[key, key]], self.rows_):
                self.record_.write("rejected", id=number, target=self.instance_, key=key, status=421)
                return 421, common + [("X-Not-Executed", "1")], b"key not held\n"
            if len(self.running_keys_) >= self.slots_:
                return 503, common + [("X-Not-Executed", "1")], b"full\n"
            self.running_keys_.append(key)
            self.runs_[number] = self.runs_.get(number, 0) + 1
        self.record_.write("run", id=number, target=self.instance_, method=method, path=path, key=key, bytes=len(body))
        time.sleep(self.work_seconds_)
        with self.lock_:
            self.running_keys_.remove(key)
        return 200, common + [("X-Server-Stamp", f"stamp-{number}")], f"answer to {number}\n".encode()

    def expire(self):
        if time.monotonic() >= self.held_until_:
            if self.rows_:
                self.record_.write("expired", target=self.instance_, rows=self.rows_)
            self.rows_ = []
            self.working_ = []

    def held_rows(self):
        with self.lock_:
            self.expire()
            return [list(row) for row in self.rows_]

    def heartbeat_body(self):
        self.sequence_ += 1
        body = {
            "addr": f"{self.host_}:{TARGET_PORT}",
            "born": self.born_,
            "info": {"service": self.service_, "version": "v1", "zone": self.zone_, "capacity": self.slots_},
            "status": {
                "state": "draining" if self.draining_ else "ready",
                "sequence": self.sequence_,
                "cold-left": "0ms",
            },
        }
        if self.sharded_:
            body["holds"] = self.rows_ + self.working_
            body["freed"] = [list(row) for row in self.freed_]
        return body

    def send_heartbeats(self):
        while not self.stopped_:
            with self.lock_:
                self.expire()
                still_working = [row for row in self.working_ if any(row[0] <= k <= row[1] for k in self.running_keys_)]
                done = subtract(self.working_, still_working)
                self.freed_ += [[row[0], row[1], "5c0e7a21d94b36f8"] for row in done]
                self.working_ = still_working
                body = self.heartbeat_body()
            sent = time.monotonic()
            answer = self.post_heartbeat(body)
            if answer is not None:
                self.apply(body, answer, sent)
                if body["status"]["state"] == "draining" and self.drain_acknowledged_ is None:
                    self.drain_acknowledged_ = time.monotonic()
                    self.record_.write("draining", target=self.instance_)
            releasing = bool(self.freed_ or self.working_)
            time.sleep(RELEASE_HEARTBEAT_INTERVAL if releasing else HEARTBEAT_INTERVAL)

    def post_heartbeat(self, body):
        try:
            connection = http.client.HTTPConnection(self.host_, CONTROL_PORT, timeout=HEARTBEAT_TIMEOUT)
            connection.request(
                "POST",
                f"/-/instances/{self.instance_}/heartbeat",
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            response = connection.getresponse()
            data = response.read()
            connection.close()
        except OSError:
            return None
        if response.status != 200 or len(data) > MAX_ACKNOWLEDGEMENT_BYTES:
            return None
        return json.loads(data)

    def apply(self, body, answer, sent):
        with self.lock_:
            reported = body.get("freed", [])
            self.freed_ = [row for row in self.freed_ if row not in reported]
            if "holds" not in answer:
                return
            self.expire()
            rows = [row[:3] for row in answer["holds"]]
            for row in subtract(self.rows_, rows):
                busy = any(row[0] <= key <= row[1] for key in self.running_keys_)
                self.record_.write("released", target=self.instance_, row=row, busy=busy)
                if busy:
                    self.working_.append(row)
                else:
                    self.freed_.append([row[0], row[1], "5c0e7a21d94b36f8"])
            for row in rows:
                if row not in self.rows_:
                    self.record_.write("granted", target=self.instance_, row=row, hold_time=answer["hold_time"])
            self.rows_ = rows
            self.held_until_ = sent + seconds(answer["hold_time"])


def seconds(text):
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


def read_request(reader):
    """The next request as (method, path, headers, body); None at the end of the stream."""
    line = reader.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = reader.readline()
        if line in (b"\r\n", b""):
            break
        name, value = line.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = reader.read(length)
    return None if len(body) < length else (method, path, headers, body)


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "Keep-Alive: timeout=10", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Node:
    """One router process beside a target, started with the command of the deploy file."""

    def __init__(self, fleet, index, host, service, memory_mb=260):
        self.name_ = f"sidecar-hu-central-{'abc'[index % 3]}-{index}"
        self.host_ = host
        self.memory_mb_ = memory_mb
        self.zone_ = f"hu-central-{'abc'[index % 3]}"
        self.log_path_ = os.path.join(fleet.directory_, f"{self.name_}.log")
        self.settings_ = os.path.join(fleet.directory_, f"{self.name_}.toml")
        with open(self.settings_, "w", encoding="utf-8") as file:
            file.write(self.settings_text(fleet, service))
        self.process_ = None
        self.start()

    def settings_text(self, fleet, service):
        return f"""node = "{self.name_}"
role = "node"
machine-class = "sidecar"
serves = ["sidecar"]
ip = "{self.host_}"
zone = "{self.zone_}"
region = "hu-central"
port-range = [{PEER_PORT},{PEER_PORT + 15}]
bootstrap = true
beat-interval = "870ms"
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
bounds = ["touch=3000ms","drain-timeout=2000ms","grace-period=6s","converge=2000ms","retry-ratio=0.2","budget-window=10s","budget-slack=62","hold-max=10000ms","thaw=300ms"]
grants = "heartbeat"
app-addr = "{self.host_}:{TARGET_PORT}"
service = "{service}"
[listen-addrs]
outbound-addr = "{self.host_}:{CALLERS_PORT}"
ready-addr = "{self.host_}:{READY_PORT}"
control-addr = "{self.host_}:{CONTROL_PORT}"
[limits]
memory-mb = {self.memory_mb_}
link-mbps = 1000.0
[platform]
addr = "{fleet.store_.address_}"
form = "log"
"""

    def start(self):
        log = open(self.log_path_, "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SASSAFRASBAY_SETTINGS"] = self.settings_
        self.process_ = subprocess.Popen(
            [PROGRAM, "sidecar"], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.host_, READY_PORT, timeout=1)
            connection.request("GET", "/-/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def stop(self):
        if self.process_.poll() is None:
            self.process_.send_signal(signal.SIGCONT)
            self.process_.kill()
        self.process_.wait()


class Fleet:
    """The store, and for each service of `services` as many nodes and targets as it names."""

    def __init__(self, record, services, sharded, rules, target_class=Target, **target_options):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/bin/sassafrasbay is missing: run the build line of deploy/system.toml first")
        self.record_ = record
        self.directory_ = tempfile.mkdtemp(prefix="review-")
        self.nodes_ = []
        self.targets_ = []
        self.store_ = Store()
        self.store_.put("keyed.op", "config", configuration(rules, sharded))
        network = self.free_network(sum(services.values()))
        index = 0
        for service, count in services.items():
            for _ in range(count):
                host = f"{network}.{10 + index}"
                self.nodes_.append(Node(self, index, host, service))
                target = target_class(record, host, service, self.nodes_[-1].zone_, service in sharded, **target_options)
                self.targets_.append(target)
                index += 1
        for node, target in zip(self.nodes_, self.targets_):
            record.write("start", node=node.name_, ip=node.host_, target=target.instance_, service=target.service_)

    @staticmethod
    def free_network(hosts):
        for _ in range(50):
            network = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
            try:
                for index in range(hosts):
                    for port in (CALLERS_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, TARGET_PORT, METRICS_PORT):
                        socket.create_server((f"{network}.{10 + index}", port)).close()
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def await_ready(self, limit=20.0):
        """Starts the heartbeats, and waits until all nodes are ready and all keys are held."""
        for target in self.targets_:
            target.start_heartbeats()
        until = time.monotonic() + limit
        while time.monotonic() < until:
            rows = [row for target in self.targets_ for row in target.held_rows()]
            complete = not any(target.sharded_ for target in self.targets_) or not subtract([[0, LAST_KEY]], rows)
            if complete and all(node.is_ready() for node in self.nodes_):
                return
            time.sleep(0.2)
        raise CannotRun("the fleet did not become ready")

    def stop(self):
        for target in self.targets_:
            target.stopped_ = True
            target.listener_.close()
        for node in self.nodes_:
            node.stop()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.directory_, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be played; exit code 2."""


def send(record, host, method, path, key=None, body=b"", deadline_ms=800, connection=None, host_name=HOST):
    """Sends one request to the node at `host`. Returns its id, the status (None without an answer) and the body."""
    number = f"{random.getrandbits(64):016x}"
    headers = {"Host": host_name, "X-Request-Id": number, "X-Deadline-Ms": str(deadline_ms)}
    if key is not None:
        headers["X-Shard-Key"] = str(key)
    record.write("sent", id=number, node=host, method=method, path=path, key=key, bytes=len(body))
    status, answer, stamp = None, b"", None
    try:
        if connection is None:
            connection = http.client.HTTPConnection(host, CALLERS_PORT, timeout=deadline_ms / 1000 + 1)
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        status, answer, stamp = response.status, response.read(), response.getheader("X-Server-Stamp")
    except (OSError, http.client.HTTPException) as error:
        answer = type(error).__name__.encode()
        connection.close()
    record.write("answered", id=number, status=status, stamp=stamp, body=answer[:60].decode("latin-1").strip())
    return number, status, answer


class OverlapCheck:
    """OWNER: two targets that are up hold the same keys for over half a second."""

    LIMIT = 0.5

    def __init__(self, record, targets):
        self.record_ = record
        self.targets_ = targets
        self.since_ = {}
        self.broken_ = []
        self.stopped_ = False
        self.thread_ = threading.Thread(target=self.watch, daemon=True)
        self.thread_.start()

    def watch(self):
        while not self.stopped_:
            now = time.monotonic()
            held = [(target.instance_, target.held_rows()) for target in self.targets_ if target.sharded_]
            current = {}
            for index, (left, left_rows) in enumerate(held):
                for right, right_rows in held[index + 1 :]:
                    common = intersect(left_rows, right_rows)
                    if common:
                        current[(left, right)] = common
            for pair, common in current.items():
                since = self.since_.setdefault(pair, now)
                if now - since > self.LIMIT and pair not in [broken[0] for broken in self.broken_]:
                    self.broken_.append((pair, common))
                    self.record_.write("BROKEN", rule="OWNER", targets=pair, keys=common, seconds=round(now - since, 3))
            for pair in [pair for pair in self.since_ if pair not in current]:
                self.record_.write("overlap-ended", targets=pair, seconds=round(now - self.since_.pop(pair), 3))
            time.sleep(0.02)

    def stop(self):
        self.stopped_ = True
        self.thread_.join()


def raise_terminated(number, frame):
    raise CannotRun("terminated")


def run_case(folder, play):
    """Runs `play(record, trouble)`, which returns a list of broken rules, and exits with the code of the case."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", trouble=trouble)
    signal.signal(signal.SIGTERM, raise_terminated)
    try:
        broken = play(record, trouble)
    except CannotRun as error:
        record.write("not-run", reason=str(error))
        print(f"not run: {error}")
        sys.stdout.flush()
        os._exit(NOT_RUN)
    for line in broken:
        record.write("RESULT", broken=line)
        print(f"broken: {line}")
    if not broken:
        record.write("RESULT", broken="nothing")
        print("held")
    record.close()
    sys.stdout.flush()
    os._exit(BROKEN if broken else HELD)
