"""Paths, headers and keys of the users' platform."""

READY_PATH = "/poplarloft/ready"
LOT_PATH = "/poplarloft/lots/"
ITEM_PATH = "/poplarloft/items/"
REPORT_PATH = "/poplarloft/report"
ORDER_PATH = "/poplarloft/order"

STORE_KEY_PATH = "/poplarloft/kv-key"
STORE_RANGE_PATH = "/poplarloft/kv-range"
STORE_WATCH_PATH = "/poplarloft/kv-watch"
STORE_WRITE_PATH = "/poplarloft/kv-txn"
STORE_LEASE_PATH = "/poplarloft/kv-lease"
STORE_LEASE_RENEW_PATH = "/poplarloft/kv-keep/"
STORE_LEASE_END_PATH = "/poplarloft/kv-lease-end/"

# Header names are compared in lower case.
REQUEST_ID = "x-request-id"
AUTHORIZATION = "authorization"
ACCOUNT = "x-tenant"
KEY_SCHEME = "token"  # of the header with the API key
DEADLINE_MS = "x-deadline-ms"
WAIT_MS = "x-wait-ms"
EXPECT_INSTANCE = "x-expect-instance"
INSTANCE_ID = "x-instance-id"
NOT_RUN = "x-not-run"
SIGNATURE = "x-server-stamp"
PRIORITY = "x-request-priority"
VERSION = "x-weight-versions"
LENGTH_HINT = "x-length-hint"
TOKEN_COUNTS = "x-token-counts"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"  # the attempt that brought a stream's first event
RETRY_AFTER = "retry-after"
LEAVING = "server-leaving"
RATE_LIMIT = "server-limit"  # requests per second of all instances

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
VERSION_PREFIX = "op/version/"
RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"
SAMPLER_PREFIX = "servers/"
