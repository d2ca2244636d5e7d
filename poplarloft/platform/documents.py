"""Values that operators, trainers and samplers keep in the store."""

import hashlib
import typing

import msgspec

from poplarloft.platform import names
from poplarloft.protocol import addresses
from poplarloft.protocol import errors
from poplarloft.protocol import http
from poplarloft import state

__all__ = [
    "decode_configuration",
    "decode_sampler",
    "decode_weights_target",
    "encode_retirement",
    "find_unread",
]

MS_PER_S = 1_000
MAX_VERSION_CHARS = 64
KINDS = {
    "idempotent": state.RouteKind.IDEMPOTENT,
    "non_idempotent": state.RouteKind.NON_IDEMPOTENT,
    "stream": state.RouteKind.STREAM,
    "rollout": state.RouteKind.LOTS,
    "batch": state.RouteKind.LOTS,
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    service: str = ""
    split: list[_Split] = []  # replaces `service` if not empty
    timeout_ms: int = 30_000
    slo_ms: float = 1_000  # time within which a response has its full value
    max_attempts: int = 1
    priority: int = 5
    resumable: bool = False
    due_ms: float = 60_000
    item_ttl_s: float = 600
    single_version: bool = False
    public: bool = False  # needs no API key


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int
    models: list[_Model] = []
    kv_capacity: int | None = None  # tokens that its memory holds


class _Scaling(msgspec.Struct):
    """Bounds, which hold for each data centre, and prices."""

    min: int
    max: int
    boot_s: float
    zone_prices: dict[str, float]
    spot_price: float | None = None  # share of the price of others


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class _Tenant(msgspec.Struct):
    """A client account.

    Once its keys have been replaced by their digests, `keys` is empty.
    """

    name: str
    keys: list[str] = []
    key_digests: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _LoadedModel(msgspec.Struct):
    name: str
    version: int = 1


class _Announcement(msgspec.Struct):
    service: str
    address: str
    zone: str  # data centre
    state: typing.Literal["ready", "draining"]
    version: str = ""  # of the software
    slots: int = 1
    born: int = 0  # Unix time of the start in milliseconds
    models: list[_LoadedModel] = []
    sequence: int = 0  # number of orders accepted since the start
    spot: bool = False  # may be taken back at short notice


class _Target(msgspec.Struct):
    model: str
    version: int


def decode_configuration(value: bytes) -> state.ServingConfiguration:
    """Return the operator's configuration; raises `FieldError`.

    Routes of unknown kinds are left out.
    """
    return errors.decoded("configuration", lambda: _configuration(value))


def find_unread(value: bytes) -> list[tuple[str, str]]:
    """Return the place and name of what no instance reads.

    These are fields under other names, and routes of other kinds. Raises
    `FieldError` like `decode_configuration`.
    """
    document = errors.decoded(
        "configuration",
        lambda: msgspec.json.decode(value, type=_Configuration),
    )
    unread = [
        (f"routes.{row.name}", f"kind {row.kind!r}")
        for row in document.routes
        if row.kind not in KINDS
    ]
    return unread + _unread_fields(msgspec.json.decode(value), document, "")


def _unread_fields(
    raw: typing.Any, decoded: typing.Any, place: str
) -> list[tuple[str, str]]:
    """Return the fields of `raw` that `decoded` lacks, with those inside."""
    if isinstance(decoded, list):
        found = []
        for row, part in zip(raw, decoded, strict=True):
            if isinstance(part, msgspec.Struct):
                name = row.get("name", "")
                found += _unread_fields(row, part, f"{place}.{name}")
        return found
    if not isinstance(decoded, msgspec.Struct):
        return []
    read = {field.name for field in msgspec.structs.fields(decoded)}
    unread = [
        (place or "configuration", f"field {name!r}")
        for name in raw
        if name not in read
    ]
    for name in raw:
        if name in read:
            inner = f"{place}.{name}".removeprefix(".")
            unread += _unread_fields(raw[name], getattr(decoded, name), inner)
    return unread


def decode_sampler(key: str, value: bytes) -> state.Sampler:
    """Return a sampler's announcement; raises `FieldError`."""
    return errors.decoded("sampler", lambda: _sampler(key, value))


def decode_weights_target(value: bytes) -> state.WeightsTarget:
    """Return the weight version a trainer set; raises `FieldError`."""
    row = errors.decoded(
        "weights target", lambda: msgspec.json.decode(value, type=_Target)
    )
    return state.WeightsTarget(row.model, row.version)


def encode_retirement(is_done: bool) -> bytes:
    """Return the status of an instance that is being retired."""
    return msgspec.json.encode(
        {"state": "completed" if is_done else "running"}
    )


def _configuration(value: bytes) -> state.ServingConfiguration:
    document = msgspec.json.decode(value, type=_Configuration)
    limits = document.limits
    return state.ServingConfiguration(
        document.version,
        tuple(_route(row) for row in document.routes if row.kind in KINDS),
        {row.name: _service(row) for row in document.services},
        state.ServingLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
        _accounts(document),
    )


def _accounts(
    document: _Configuration,
) -> dict[str, state.ClientAccount] | None:
    """Return the client accounts, None if requests need no keys."""
    if document.tenants is None:
        return None
    accounts: dict[str, state.ClientAccount] = {}
    owners: dict[str, str] = {}
    for row in document.tenants:
        account = _account(row)
        if account.name in accounts:
            raise errors.FieldError(
                "tenants", f"two accounts are named {account.name!r}"
            )
        accounts[account.name] = account
        for digest in account.key_digests:
            other = owners.setdefault(digest, account.name)
            if other != account.name:
                raise errors.FieldError(
                    "tenants",
                    f"{other!r} and {account.name!r} have the same key",
                )
    for route in document.routes:
        if route.public and KINDS.get(route.kind) is state.RouteKind.LOTS:
            raise errors.FieldError(
                "routes",
                f"{route.name!r} is public, but its lots need an account",
            )
    return accounts


def _account(row: _Tenant) -> state.ClientAccount:
    digests = [http.bearer_digest(key) for key in row.keys]
    return state.ClientAccount(
        row.name, (*row.key_digests, *digests), row.priority
    )


def _sampler(key: str, value: bytes) -> state.Sampler:
    row = msgspec.json.decode(value, type=_Announcement)
    return state.Sampler(
        key.removeprefix(names.SAMPLER_PREFIX),
        row.born,
        row.service,
        addresses.parse_address(row.address),
        row.zone,
        row.slots,
        row.state == "draining",
        {model.name: model.version for model in row.models},
        row.sequence,
        _software_version(row.version),
        row.spot,
    )


def _software_version(text: str) -> str:
    """Return a version's text, or a digest of it if it is long."""
    if len(text) <= MAX_VERSION_CHARS:
        return text
    digest = hashlib.blake2b(text.encode("utf-8", "surrogatepass"))
    return digest.hexdigest()[:MAX_VERSION_CHARS]


def _route(row: _Route) -> state.PathRoute:
    targets = [state.Target(s.service, s.weight) for s in row.split]
    if not targets:
        targets = [state.Target(row.service)]
    return state.PathRoute(
        name=row.name,
        host=row.host,
        prefix=row.prefix,
        kind=KINDS[row.kind],
        targets=tuple(targets),
        timeout_ms=row.timeout_ms,
        objective_ms=int(row.slo_ms),
        max_attempts=row.max_attempts,
        priority=row.priority,
        resumable=row.resumable,
        due_ms=int(row.due_ms),
        item_ttl_ms=int(row.item_ttl_s * MS_PER_S),
        single_version=row.single_version,
        is_public=row.public,
    )


def _service(row: _Service) -> state.ServiceInfo:
    if row.engine is None:
        return state.ServiceInfo(row.name, row.max_conns)
    models = tuple(model.name for model in row.engine.models)
    return state.ServiceInfo(
        row.name,
        row.max_conns,
        row.engine.slots,
        models,
        None if row.scaling is None else _scaling(row.name, row.scaling),
        row.engine.kv_capacity,
    )


def _scaling(service: str, row: _Scaling) -> state.EngineScaling:
    if not 0 <= row.min <= row.max:
        raise errors.FieldError(
            "scaling",
            f"of {service!r}: min {row.min} and max {row.max}, expected "
            "0 <= min <= max",
        )
    for place, price in row.zone_prices.items():
        if not 0 <= price < float("inf"):
            raise errors.FieldError(
                "scaling", f"of {service!r}: price {price} in {place!r}"
            )
    return state.EngineScaling(
        row.min,
        row.max,
        int(row.boot_s * MS_PER_S),
        row.zone_prices,
        row.spot_price,
    )
