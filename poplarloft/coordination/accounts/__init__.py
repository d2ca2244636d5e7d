"""Decisions on client accounts: who may send which request."""

from poplarloft.coordination.accounts.access import Access
from poplarloft.coordination.accounts.access import AccountAccess
from poplarloft.coordination.accounts.access import Admitted
from poplarloft.coordination.accounts.access import KeyRefused
from poplarloft.coordination.accounts.access import RevocationRules
from poplarloft.coordination.accounts.access import Unconfirmed

__all__ = [
    "Access",
    "AccountAccess",
    "Admitted",
    "KeyRefused",
    "RevocationRules",
    "Unconfirmed",
]
