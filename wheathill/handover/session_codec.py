"""Encodes and decodes the record of a session.

Tens of thousands of sessions may be handed over, so only one record and one dictionary
are created for each.
"""

from wheathill.handover.errors import HandoverError
from wheathill.handover.records import SessionRecord
from wheathill.handover.validation import (
    require_count,
    require_number,
    require_optional_number,
    require_type,
)


def encode_session(record: SessionRecord) -> dict:
    """Return the encoded record."""
    return {
        "line": record.open_line.decode(),
        "listener": record.listener_name,
        "key": record.key,
        "tenant": record.tenant,
        "group": record.group,
        "load": record.load,
        "mid_flow": record.is_mid_flow,
        "returning": record.is_returning,
        "repeat": record.is_client_retry,
        "accepted": record.accepted_ms,
        "came": record.connected_ms,
        "asked": record.unanswered_since_ms,
        "server": record.server_name,
        "rest": record.partial_line.decode("latin-1"),
    }


def decode_session(fields: dict) -> SessionRecord:
    """Return the record of an encoded session.

    Raises:
        HandoverError: if it is not a session, or a value is invalid.
    """
    try:
        group = fields["group"]
        return SessionRecord(
            listener_name=require_type(fields["listener"], str),
            key=require_type(fields["key"], str),
            accepted_ms=require_number(fields["accepted"]),
            tenant=require_count(fields["tenant"]),
            group=None if group is None else require_type(group, str),
            load=require_optional_number(fields["load"]),
            is_mid_flow=require_type(fields["mid_flow"], bool),
            is_returning=require_type(fields["returning"], bool),
            is_client_retry=require_type(fields["repeat"], bool),
            open_line=require_type(fields["line"], str).encode(),
            connected_ms=require_number(fields["came"]),
            unanswered_since_ms=require_optional_number(fields["asked"]),
            server_name=require_type(fields["server"], str),
            partial_line=require_type(fields["rest"], str).encode("latin-1"),
        )
    except (KeyError, TypeError, UnicodeError) as error:
        raise HandoverError(f"malformed session: {error!r}") from None
