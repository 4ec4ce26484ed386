"""Encodes HTTP responses with a JSON body; the connection is closed after each."""

from collections.abc import Mapping

import orjson

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


def encode_response(
    status: int, value: object, headers: Mapping[str, str]
) -> tuple[bytes, bytes]:
    """Return head and body; values that JSON can't represent are written as strings."""
    body = orjson.dumps(value, default=str, option=orjson.OPT_APPEND_NEWLINE)
    extra_fields = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n"
        f"{extra_fields}Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode(), body
