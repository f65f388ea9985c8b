"""Open-loop load: requests start at planned times, whatever happens."""

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
    """Load of one service.

    Attributes
    ----------
    service : str
        Name of the service.
    share : float
        Share of all requests.
    keys : int
        Number of keys.
    zipf : float
        Exponent of the Zipf distribution of keys.
    methods : dict of str to float
        Weight of each HTTP method.
    body_bytes, answer_bytes : int
        Largest body of a request other than GET, and size of the
        response to a GET, bytes.
    timeout : float
        Time after which a caller gives up, seconds.
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
    """A request and its outcome.

    Attributes
    ----------
    request : Request
        The planned request.
    finished : float
        End of the request, seconds from the start of the load.
    status, code : int
        HTTP status and result code, -1 without a response.
    run, owner, host : str
        Headers of the response that say whether the request was run and
        by which server, and the entry host that was tried last.
    attempts : int
        Number of times that the balancer sent the request.
    failure : str
        Kind of failure if there was no response, or "".
    wrong : str
        How the response differs from the expected one, or "".
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
        """Whether the backend server answered the request."""
        return self.code == 0 and self.status == 200

    @property
    def latency(self) -> float:
        """Seconds from the intended start to the end."""
        return self.finished - self.request.start


def load_services(path: pathlib.Path) -> list[ServiceLoad]:
    """Read the services' loads from a YAML file."""
    entries = yaml.safe_load(path.read_text(encoding="utf-8"))
    return [ServiceLoad(**entry) for entry in entries]


def plan_mixed(
    services: list[ServiceLoad], rate: float, seconds: float, seed: int
) -> Iterator[Request]:
    """Plan requests with Poisson arrivals and Zipf-distributed keys."""
    generator = random.Random(seed)
    tag = f"{seed}-{generator.randrange(16**6):06x}"
    shares = [service.share for service in services]
    weights = [
        list(itertools.accumulate(_zipf_weights(service.keys, service.zipf)))
        for service in services
    ]
    start = 0.0
    for number in itertools.count():
        start += generator.expovariate(rate)
        if start >= seconds:
            return
        index = generator.choices(range(len(services)), shares)[0]
        service = services[index]
        key = generator.choices(
            range(service.keys), cum_weights=weights[index]
        )[0]
        yield _draw_request(
            generator, start, f"{tag}-{number}", service, f"k{key}"
        )


def plan_probes(
    services: list[ServiceLoad],
    keys: int,
    interval: float,
    seconds: float,
    seed: int,
) -> Iterator[Request]:
    """Plan reads of some keys of each service at a fixed interval."""
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
    """Send all requests at their planned times and return the records.

    Parameters
    ----------
    balancer : balancers.Balancer
        Balancer that sends them.
    requests : list of Request
        Requests in the order of their starts.
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
        records.append(_make_record(request, finished, exchange))

    async with asyncio.TaskGroup() as tasks:
        for request in requests:
            delay = started + request.start - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.create_task(send(request))
    return records


def _zipf_weights(keys: int, exponent: float) -> list[float]:
    return [1.0 / rank**exponent for rank in range(1, keys + 1)]


def _draw_request(
    generator: random.Random,
    start: float,
    number: str,
    service: ServiceLoad,
    key: str,
) -> Request:
    methods = list(service.methods)
    method = generator.choices(methods, list(service.methods.values()))[0]
    body = b""
    if method != "GET" and service.body_bytes:
        body = generator.randbytes(generator.randint(1, service.body_bytes))
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


def _make_record(
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
    """Return how a body differs from the full echo of a request, or ""."""
    try:
        echo = json.loads(body.partition(b"}")[0] + b"}")
    except ValueError:
        return "body is not an echo of a request"
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
        return "bytes after the end of the echo"
    return ""
