"""The membership protocol's messages: their form on the wire, and what is refused."""

import pytest

from wheathill.peers.membership import (
    InvalidMessageError,
    Member,
    MemberState,
    MemberUpdate,
    decode_message,
    encode_message,
)
from wheathill.peers.membership.messages import (
    Ack,
    DigestRequest,
    IndirectPing,
    Join,
    Nack,
    NameConflict,
    Ping,
    StateRequest,
    StateSync,
)

SUSPECT = MemberUpdate(MemberState.SUSPECT, "b", "h:2", 3, 4, "c")
SUSPECT_FIELDS = ["suspect", "b", "h:2", 3, 4, "c"]
MEMBER = MemberUpdate(MemberState.ALIVE, "a", "h:1", 1, 2, "a")
MEMBER_FIELDS = ["alive", "a", "h:1", 1, 2]

FORMS = [
    (Ping(7, "a", [SUSPECT]), ["ping", 7, "a", [SUSPECT_FIELDS]]),
    (Ping(0, "a", []), ["ping", 0, "a", []]),
    (Ack(7, "a", [SUSPECT]), ["ack", 7, "a", [SUSPECT_FIELDS]]),
    (
        IndirectPing(7, "a", "b", "h:2", [SUSPECT]),
        ["ask", 7, "a", "b", "h:2", [SUSPECT_FIELDS]],
    ),
    (Nack(7), ["nack", 7]),
    (Join(MEMBER), ["join", MEMBER_FIELDS]),
    (StateSync([SUSPECT, SUSPECT]), ["state", [SUSPECT_FIELDS, SUSPECT_FIELDS]]),
    (NameConflict(MEMBER), ["clash", MEMBER_FIELDS]),
    (DigestRequest([0, 2**47]), ["compare", [0, 2**47]]),
    (StateRequest([1, 15]), ["want", [1, 15]]),
]


@pytest.mark.parametrize(("message", "fields"), FORMS)
def test_each_message_has_one_form_on_the_wire(message, fields):
    encoded = encode_message(message)
    # The text of states goes into digests: it must be plain, not an enum's.
    assert repr(encoded) == repr(fields)
    assert decode_message(fields) == message


@pytest.mark.parametrize("kind", ["nack", "join", "state", "clash", "compare", "want"])
def test_fields_that_follow_the_only_one_are_ignored(kind):
    ((message, fields),) = [form for form in FORMS[4:] if form[1][0] == kind]
    assert decode_message([*fields, "more"]) == message


@pytest.mark.parametrize(
    "fields",
    [
        [],
        None,
        "ping",
        7,
        {},
        ["what", 1],
        [["ping"], 1],
        ["ping"],
        ["ping", 1],
        ["ping", 1, "b"],
        ["ping", 1, "b", [], "more"],
        ["ping", "1", "b", []],
        ["ping", 1, 2, []],
        ["ping", 1, "b", "updates"],
        ["ping", 1, "b", None],
        ["ack", 1, "b"],
        ["ask", 1, "b", "c", []],
        ["nack"],
        ["nack", None],
        ["join"],
        ["join", [*MEMBER_FIELDS, "a"]],
        ["join", ["asleep", *MEMBER_FIELDS[1:]]],
        ["state"],
        ["state", 3],
        ["clash", "alive"],
        ["clash", MEMBER_FIELDS[:-1]],
        ["compare", 5],
        ["compare", [1, "2"]],
        ["want", ["1"]],
        ["want", None],
    ],
)
def test_what_is_not_of_the_protocol_is_refused(fields):
    with pytest.raises(InvalidMessageError):
        decode_message(fields)


@pytest.mark.parametrize(
    ("place", "value"),
    [
        (0, "asleep"),
        (0, ["suspect"]),
        (0, None),
        (1, 1),
        (2, None),
        (3, "3"),
        (3, 1.5),
        (4, None),
        (5, None),
    ],
)
def test_one_wrong_update_refuses_the_whole_message(place, value):
    wrong = [*SUSPECT_FIELDS]
    wrong[place] = value
    for kind in ("ping", "ack"):
        with pytest.raises(InvalidMessageError):
            decode_message([kind, 1, "b", [SUSPECT_FIELDS, wrong]])
    with pytest.raises(InvalidMessageError):
        decode_message(["state", [SUSPECT_FIELDS, wrong]])


def test_a_refusal_is_a_value_error_as_callers_catch_it():
    assert issubclass(InvalidMessageError, ValueError)


def test_a_refusal_names_what_came_and_stays_short():
    with pytest.raises(InvalidMessageError, match="what") as refused:
        decode_message(["what", list(range(10_000))])
    assert len(str(refused.value)) < 200


def test_the_digest_of_a_member_is_that_of_earlier_versions():
    member = Member("a", "h:1", 3, 4, MemberState.ALIVE, 0.0)
    assert member.digest() == 179182929484828
