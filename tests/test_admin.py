"""The admin endpoint's parts: targets, routes and responses."""

import pytest

from wheathill.net.admin.errors import HttpError
from wheathill.net.admin.request_target import RequestTarget, parse_target
from wheathill.net.admin.response import REASON_PHRASES, encode_response
from wheathill.net.admin.routes import Routes


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        (b"/status", RequestTarget("/status", {})),
        (b"http://a:1/status?x=%41", RequestTarget("/status", {"x": ["A"]})),
        (b"HTTP://a", RequestTarget("/", {})),
        (b"/p?a=1&a=2&b#c", RequestTarget("/p", {"a": ["1", "2"], "b": [""]})),
        (b"/%c3%a9?%61=%25", RequestTarget("/\u00e9", {"a": ["%"]})),
    ],
)
def test_a_target_is_parsed(target: bytes, expected: RequestTarget) -> None:
    assert parse_target(target) == expected


@pytest.mark.parametrize(
    ("target", "message"),
    [
        (b"status", "the target is no path"),
        (b"*", "the target is no path"),
        (b"/a%4", "a % without two hexadecimal digits after it"),
        (b"/a?b=%zz", "a % without two hexadecimal digits after it"),
        (b"/%ff", "escapes that are not UTF-8"),
    ],
)
def test_a_malformed_target_is_refused(target: bytes, message: str) -> None:
    with pytest.raises(HttpError) as error:
        parse_target(target)
    assert (error.value.status, error.value.message) == (400, message)


@pytest.mark.parametrize(
    ("query", "message"),
    [
        ({}, "host is missing or empty"),
        ({"host": [""]}, "host is missing or empty"),
        ({"host": ["a", "b"]}, "host is given twice"),
    ],
)
def test_a_parameter_is_given_once(query: dict[str, list[str]], message: str) -> None:
    with pytest.raises(HttpError) as error:
        RequestTarget("/", query).single_value("host")
    assert (error.value.status, error.value.message) == (400, message)


@pytest.fixture
def routes() -> Routes:
    made = Routes()
    made.add("GET", "/one", lambda: 1)
    made.add("PUT", "/one", lambda host: host, "host")
    made.add("GET", "/two", lambda: 2)
    return made


def test_a_route_is_found_by_path_and_method(routes: Routes) -> None:
    assert routes.answer("GET", RequestTarget("/one", {})) == 1
    assert routes.answer("PUT", RequestTarget("/one", {"host": ["a"]})) == "a"


@pytest.mark.parametrize(
    ("method", "path", "status", "message", "headers"),
    [
        ("GET", "/none", 404, "no such path; known here: /one, /two", {}),
        ("POST", "/one", 405, "/one takes GET or PUT", {"Allow": "GET, PUT"}),
        ("PUT", "/one", 400, "host is missing or empty", {}),
    ],
)
def test_what_has_no_route_is_refused(
    routes: Routes,
    method: str,
    path: str,
    status: int,
    message: str,
    headers: dict[str, str],
) -> None:
    with pytest.raises(HttpError) as error:
        routes.answer(method, RequestTarget(path, {}))
    found = error.value
    assert (found.status, found.message, found.headers) == (status, message, headers)


@pytest.mark.parametrize("status", REASON_PHRASES)
def test_a_response_states_its_length(status: int) -> None:
    head, body = encode_response(status, {"a": 1}, {"Allow": "GET"})
    assert body == b'{"a":1}\n'
    assert head.startswith(f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n".encode())
    assert head.endswith(b"\r\n\r\n")
    assert b"\r\nContent-Length: 8\r\n" in head
    assert b"\r\nAllow: GET\r\n" in head
