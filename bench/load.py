"""Open-loop load: requests start when planned, whatever happens."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import pathlib
import random
import time
import typing

import yaml

from bench import balancer as balancers
from bench import http_client

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

PROBE = "probe"


class ServiceLoad(typing.NamedTuple):
    """Load on one service.

    Attributes
    ----------
    service : str
        Name of the service.
    share : float
        Part of all requests.
    keys : int
        Number of keys.
    zipf : float
        Exponent of the popularity of keys.
    methods : dict of str to float
        Weight of each HTTP method.
    body_bytes, answer_bytes : int
        Sizes of the bodies of requests other than GET, and of answers.
    timeout : float
        When a caller gives up, seconds.
    """

    service: str
    share: float
    keys: int
    zipf: float
    methods: dict[str, float]
    body_bytes: int = 0
    answer_bytes: int = 0
    timeout: float = 5.0


class Request(typing.NamedTuple):
    """A planned request; `start` is seconds from the start of the load."""

    start: float
    number: str
    service: str
    key: str
    method: str
    body: bytes
    answer_bytes: int
    timeout: float
    group: str = ""


class Record(typing.NamedTuple):
    """Outcome of one request.

    Attributes
    ----------
    request : Request
        The request.
    finished : float
        Seconds from the start of the load.
    status, code : int
        HTTP status and result code, -1 without an answer.
    run, owner, host : str
        From the answer's headers; the entry host asked last.
    attempts : int
        How often the balancer sent it.
    failure : str
        Why there was no answer, or "".
    wrong : str
        What differs from a whole answer to this request, or "".
    """

    request: Request
    finished: float
    status: int
    code: int
    run: str
    owner: str
    host: str
    attempts: int
    failure: str
    wrong: str

    @property
    def answered(self) -> bool:
        """Whether the backend server answered."""
        return self.code == 0 and self.status == 200

    @property
    def latency(self) -> float:
        """Seconds from the intended start."""
        return self.finished - self.request.start


def load_services(path: pathlib.Path) -> list[ServiceLoad]:
    """Read the services' loads from a YAML file."""
    entries = yaml.safe_load(path.read_text(encoding="utf-8"))
    return [ServiceLoad(**entry) for entry in entries]


def plan_mixed(
    services: list[ServiceLoad], rate: float, seconds: float, seed: int
) -> Iterator[Request]:
    """Draw requests with Poisson arrivals and Zipf keys."""
    draw = random.Random(seed)
    tag = f"{seed}-{draw.randrange(16**6):06x}"
    shares = [service.share for service in services]
    weights = [
        list(itertools.accumulate(_zipf(service.keys, service.zipf)))
        for service in services
    ]
    start = 0.0
    for number in itertools.count():
        start += draw.expovariate(rate)
        if start >= seconds:
            return
        index = draw.choices(range(len(services)), shares)[0]
        service = services[index]
        key = draw.choices(range(service.keys), cum_weights=weights[index])[0]
        yield _request(draw, start, f"{tag}-{number}", service, f"k{key}")


def plan_probes(
    services: list[ServiceLoad],
    keys: int,
    interval: float,
    seconds: float,
    seed: int,
) -> Iterator[Request]:
    """Read some keys of each service at a fixed interval."""
    offsets = random.Random(seed)
    for service in services:
        for key in range(keys):
            start = offsets.random() * interval
            number = 0
            while start < seconds:
                yield Request(
                    start,
                    f"{PROBE}-{seed}-{service.service}-{key}-{number}",
                    service.service,
                    f"p{key}",
                    "GET",
                    b"",
                    0,
                    service.timeout,
                    PROBE,
                )
                start += interval
                number += 1


async def run(
    balancer: balancers.Balancer, requests: list[Request], started: float
) -> list[Record]:
    """Send all requests at their times and return their records.

    Parameters
    ----------
    balancer : balancers.Balancer
        Where to send them.
    requests : list of Request
        In order of their starts.
    started : float
        `time.monotonic()` at which the load starts.
    """
    records: list[Record] = []

    async def send(request: Request) -> None:
        exchange = await balancer.send(
            request.method,
            f"/{request.service}/{request.key}",
            _headers(request),
            request.body,
            request.timeout,
        )
        finished = time.monotonic() - started
        records.append(_record(request, finished, exchange))

    async with asyncio.TaskGroup() as tasks:
        for request in requests:
            wait = started + request.start - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.create_task(send(request))
    return records


def _zipf(keys: int, exponent: float) -> list[float]:
    return [1.0 / rank**exponent for rank in range(1, keys + 1)]


def _request(
    draw: random.Random,
    start: float,
    number: str,
    service: ServiceLoad,
    key: str,
) -> Request:
    methods = list(service.methods)
    method = draw.choices(methods, list(service.methods.values()))[0]
    body = b""
    if method != "GET" and service.body_bytes:
        body = draw.randbytes(draw.randint(1, service.body_bytes))
    return Request(
        start,
        number,
        service.service,
        key,
        method,
        body,
        service.answer_bytes if method == "GET" else 0,
        service.timeout,
    )


def _headers(request: Request) -> dict[str, str]:
    headers = {"x-agatestile-request-id": request.number}
    if request.answer_bytes:
        headers["x-answer-bytes"] = str(request.answer_bytes)
    return headers


def _record(
    request: Request, finished: float, exchange: balancers.Exchange
) -> Record:
    result = exchange.result
    if isinstance(result, http_client.Failure):
        return Record(
            request,
            finished,
            -1,
            -1,
            "",
            "",
            exchange.host,
            exchange.attempts,
            result.kind,
            "",
        )
    code = int(result.headers.get("x-agatestile-code", "-1"))
    record = Record(
        request,
        finished,
        result.status,
        code,
        result.headers.get("x-agatestile-run", ""),
        result.headers.get("x-agatestile-owner", ""),
        exchange.host,
        exchange.attempts,
        "",
        "",
    )
    if record.answered:
        return record._replace(wrong=find_difference(request, result.body))
    return record


def find_difference(request: Request, body: bytes) -> str:
    """Return how a body differs from the whole echo of a request, or ""."""
    try:
        echo = json.loads(body.partition(b"}")[0] + b"}")
    except ValueError:
        return "no echo"
    expected = {
        "key": request.key,
        "method": request.method,
        "digest": hashlib.blake2b(request.body, digest_size=8).hexdigest(),
        "received": len(request.body),
        "id": request.number,
        "size": request.answer_bytes,
    }
    for name, value in expected.items():
        if echo.get(name) != value:
            return f"{name} is {echo.get(name)!r}, not {value!r}"
    if request.answer_bytes and len(body) != request.answer_bytes:
        return f"{len(body)} bytes, not {request.answer_bytes}"
    if not request.answer_bytes and not body.endswith(b"}"):
        return "bytes after the end"
    return ""
