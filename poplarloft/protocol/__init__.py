"""Message formats: validated models, parsing and encoding.

Input is validated here, at the border of the process. All other layers
work with the data classes of `poplarloft.state`.
"""

from poplarloft.protocol.addresses import AddressText
from poplarloft.protocol.addresses import parse_address
from poplarloft.protocol.console import ConsoleView
from poplarloft.protocol.console import cookie_header
from poplarloft.protocol.console import csrf_token
from poplarloft.protocol.console import format_document
from poplarloft.protocol.console import proposal_view
from poplarloft.protocol.console import ProposalView
from poplarloft.protocol.console import read_cookie
from poplarloft.protocol.console import render_page
from poplarloft.protocol.credentials import find_caller
from poplarloft.protocol.credentials import find_operator
from poplarloft.protocol.documents import BODY_MODEL_OF_KIND
from poplarloft.protocol.documents import canonical_bytes
from poplarloft.protocol.documents import decode_document
from poplarloft.protocol.documents import decode_head
from poplarloft.protocol.documents import document_schema
from poplarloft.protocol.documents import encode_document
from poplarloft.protocol.documents import encode_head
from poplarloft.protocol.documents import HEAD_KEY
from poplarloft.protocol.documents import MAX_DOCUMENT_BYTES
from poplarloft.protocol.documents import proposal_id
from poplarloft.protocol.engine import CompletionRequest
from poplarloft.protocol.engine import decode_engine_state
from poplarloft.protocol.engine import decode_order_answer
from poplarloft.protocol.engine import decode_score
from poplarloft.protocol.engine import decode_stream_line
from poplarloft.protocol.engine import encode
from poplarloft.protocol.engine import EngineState
from poplarloft.protocol.engine import load_report
from poplarloft.protocol.engine import OrderAnswer
from poplarloft.protocol.engine import ScoreAnswer
from poplarloft.protocol.engine import ScoreRequest
from poplarloft.protocol.engine import StreamLine
from poplarloft.protocol.engine import WeightOrder
from poplarloft.protocol.errors import FieldError
from poplarloft.protocol.errors import first_field_error
from poplarloft.protocol.errors import ProtocolError
from poplarloft.protocol.forms import document_from_form
from poplarloft.protocol.forms import form_fields
from poplarloft.protocol.forms import FormField
from poplarloft.protocol.forms import FormResult
from poplarloft.protocol.forms import parse_form
from poplarloft.protocol.http import bearer_digest
from poplarloft.protocol.http import CallerHeaders
from poplarloft.protocol.http import claim_key
from poplarloft.protocol.http import HttpRequest
from poplarloft.protocol.http import HttpResponse
from poplarloft.protocol.http import json_response
from poplarloft.protocol.http import LEAVING_HEADER
from poplarloft.protocol.http import NOT_EXECUTED_HEADER
from poplarloft.protocol.http import parse_caller_headers
from poplarloft.protocol.http import problem_response
from poplarloft.protocol.http import request_fingerprint
from poplarloft.protocol.http import RequestHasher
from poplarloft.protocol.http import with_end_callback
from poplarloft.protocol.keys import AllowedPeer
from poplarloft.protocol.keys import format_key_pair
from poplarloft.protocol.keys import KeyPair
from poplarloft.protocol.keys import parse_allow_list
from poplarloft.protocol.keys import parse_key_pair
from poplarloft.protocol.ledgers import decode_ledger
from poplarloft.protocol.ledgers import encode_ledger
from poplarloft.protocol.ledgers import ledger_key
from poplarloft.protocol.operators import decode_reason
from poplarloft.protocol.operators import HistogramRow
from poplarloft.protocol.operators import InstanceStatus
from poplarloft.protocol.operators import LotRow
from poplarloft.protocol.operators import parse_window_ms
from poplarloft.protocol.operators import proposal_status
from poplarloft.protocol.operators import ProposalStatus
from poplarloft.protocol.operators import UpstreamRow
from poplarloft.protocol.peers import decode_peer_message
from poplarloft.protocol.peers import encode_peer_message
from poplarloft.protocol.peers import Envelope
from poplarloft.protocol.peers import PeerMessage
from poplarloft.protocol.platform import decode_instances
from poplarloft.protocol.platform import decode_key_value
from poplarloft.protocol.platform import decode_lease
from poplarloft.protocol.platform import encode_instances
from poplarloft.protocol.platform import KeyValueAnswer
from poplarloft.protocol.platform import LeaseAnswer
from poplarloft.protocol.platform import LeaseRequest
from poplarloft.protocol.pulls import decode_pull_answer
from poplarloft.protocol.pulls import decode_pull_request
from poplarloft.protocol.pulls import encode_pull_answer
from poplarloft.protocol.pulls import encode_pull_request
from poplarloft.protocol.pulls import PullAnswer
from poplarloft.protocol.pulls import PullRequest
from poplarloft.protocol.settings import DaemonSettings
from poplarloft.protocol.settings import load_settings
from poplarloft.protocol.settings import settings_reference
from poplarloft.protocol.snapshots import decode_snapshot
from poplarloft.protocol.snapshots import encode_snapshot
from poplarloft.protocol.snapshots import Snapshot
from poplarloft.protocol.streams import complete_lines
from poplarloft.protocol.streams import read_completion
from poplarloft.protocol.streams import StreamProgress
from poplarloft.protocol.usage import append_entry
from poplarloft.protocol.usage import decode_disputes
from poplarloft.protocol.usage import decode_segment
from poplarloft.protocol.usage import disputes_key
from poplarloft.protocol.usage import encode_disputes
from poplarloft.protocol.usage import encode_segment
from poplarloft.protocol.usage import ENTRIES_PER_SEGMENT
from poplarloft.protocol.usage import export_csv
from poplarloft.protocol.usage import find_integrity_error
from poplarloft.protocol.usage import LedgerIntegrityError
from poplarloft.protocol.usage import segment_key

__all__ = [
    "AddressText",
    "AllowedPeer",
    "append_entry",
    "bearer_digest",
    "BODY_MODEL_OF_KIND",
    "CallerHeaders",
    "canonical_bytes",
    "claim_key",
    "complete_lines",
    "CompletionRequest",
    "ConsoleView",
    "cookie_header",
    "csrf_token",
    "DaemonSettings",
    "decode_disputes",
    "decode_document",
    "decode_engine_state",
    "decode_head",
    "decode_instances",
    "decode_key_value",
    "decode_lease",
    "decode_ledger",
    "decode_order_answer",
    "decode_peer_message",
    "decode_pull_answer",
    "decode_pull_request",
    "decode_reason",
    "decode_score",
    "decode_segment",
    "decode_snapshot",
    "decode_stream_line",
    "disputes_key",
    "document_from_form",
    "document_schema",
    "encode",
    "encode_disputes",
    "encode_document",
    "encode_head",
    "encode_instances",
    "encode_ledger",
    "encode_peer_message",
    "encode_pull_answer",
    "encode_pull_request",
    "encode_segment",
    "encode_snapshot",
    "EngineState",
    "ENTRIES_PER_SEGMENT",
    "Envelope",
    "export_csv",
    "FieldError",
    "find_caller",
    "find_integrity_error",
    "find_operator",
    "first_field_error",
    "form_fields",
    "format_document",
    "format_key_pair",
    "FormField",
    "FormResult",
    "HEAD_KEY",
    "HistogramRow",
    "HttpRequest",
    "HttpResponse",
    "InstanceStatus",
    "json_response",
    "KeyPair",
    "KeyValueAnswer",
    "LeaseAnswer",
    "LeaseRequest",
    "LEAVING_HEADER",
    "ledger_key",
    "LedgerIntegrityError",
    "load_report",
    "load_settings",
    "LotRow",
    "MAX_DOCUMENT_BYTES",
    "NOT_EXECUTED_HEADER",
    "OrderAnswer",
    "parse_address",
    "parse_allow_list",
    "parse_caller_headers",
    "parse_form",
    "parse_key_pair",
    "parse_window_ms",
    "PeerMessage",
    "problem_response",
    "proposal_id",
    "proposal_status",
    "proposal_view",
    "ProposalStatus",
    "ProposalView",
    "ProtocolError",
    "PullAnswer",
    "PullRequest",
    "read_completion",
    "read_cookie",
    "render_page",
    "request_fingerprint",
    "RequestHasher",
    "ScoreAnswer",
    "ScoreRequest",
    "segment_key",
    "settings_reference",
    "Snapshot",
    "StreamLine",
    "StreamProgress",
    "UpstreamRow",
    "WeightOrder",
    "with_end_callback",
]
