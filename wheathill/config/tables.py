"""Value types of an operator's file, and the base class of its tables."""

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=200,
        pattern=r"^[!-~]+$",
        description="printable, no blanks",
    ),
]
Address = Annotated[
    str, Meta(pattern=r"^.+:[0-9]{1,5}$", description="HOST:PORT, a numeric address")
]
PositiveMs = Annotated[float, Meta(gt=0, le=3_600_000)]
NonNegativeMs = Annotated[float, Meta(ge=0, le=3_600_000)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Weight = Annotated[float, Meta(ge=0, le=1000)]


class Table(Struct, forbid_unknown_fields=True, frozen=True):
    """A table of the file, in which unknown keys are invalid."""
