"""Typed access to the values of a JSON object; errors state the path of the key."""

from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

from wheathill.config.errors import ConfigurationError

# Maximum of any number. No setting needs more, and calculations with larger values
# could overflow to infinity.
MAX_NUMBER = 1e15
# Maximum of integers. JSON numbers may be floats, which represent all integers exactly
# only up to this value.
MAX_COUNT = 2**53

Choice = TypeVar("Choice")
Value = TypeVar("Value")


class SettingsReader:
    """Reads the values of one JSON object.

    A missing or null value is replaced by the default, and is an error if there is no
    default. All methods that read a value raise `ConfigurationError` if it has the
    wrong type or is out of range.

    Attributes:
        values: the object.
        path: the path of the object in the configuration, empty for the root.
    """

    def __init__(self, values: object, path: str = "") -> None:
        if not isinstance(values, dict):
            raise ConfigurationError(
                f"{path or 'the configuration'}: must be an object"
            )
        self.values: dict[str, Any] = values
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path of a key, as used in error messages."""
        return f"{self.path}.{key}" if self.path else key

    def get(
        self,
        key: str,
        default: Value | None,
        types: tuple[type[Value], ...],
        description: str,
    ) -> Value:
        """Return a value of one of the given types.

        Args:
            key: the key in this object.
            default: the value if the key is missing; None if it is required.
            types: the permitted types.
            description: what the value must be, for the error message.

        Raises:
            ConfigurationError: the value is missing or has another type.
        """
        value = self.values.get(key)
        if value is None:
            if default is None:
                raise ConfigurationError(f"{self.path_of(key)}: is missing")
            return default
        # bool is a subclass of int.
        is_unexpected_bool = isinstance(value, bool) and bool not in types
        if not isinstance(value, types) or is_unexpected_bool:
            raise ConfigurationError(f"{self.path_of(key)}: must be {description}")
        return value

    def number(
        self,
        key: str,
        default: float | None,
        minimum: float = 0.0,
        maximum: float = MAX_NUMBER,
    ) -> float:
        """Return a number from `minimum` to `maximum`."""
        value = self.get(key, default, (int, float), "a number")
        if not minimum <= value <= maximum:
            raise ConfigurationError(
                f"{self.path_of(key)}: {value} is not between"
                f" {minimum:g} and {maximum:g}"
            )
        return value

    def milliseconds(self, key: str, default_ms: float) -> float:
        """Return a duration in milliseconds, which is configured in seconds."""
        return self.number(key, default_ms / 1000) * 1000

    def count(self, key: str, default: int, minimum: int = 0) -> int:
        """Return an integer; a fractional part is truncated."""
        return int(self.number(key, default, minimum, MAX_COUNT))

    def flag(self, key: str, default: bool = False) -> bool:
        """Return a boolean."""
        return self.get(key, default, (bool,), "true or false")

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return self.get(key, default, (str,), "text")

    def choice(self, key: str, choices: Mapping[str, Choice], default: str) -> Choice:
        """Return the value that `choices` maps the configured string to."""
        value = self.text(key, default)
        if value not in choices:
            raise ConfigurationError(
                f"{self.path_of(key)}: {value!r} is not one of {', '.join(choices)}"
            )
        return choices[value]

    def array(self, key: str) -> list[Any]:
        """Return an array, empty by default, without checking its elements."""
        return self.get(key, [], (list,), "an array")

    def texts(self, key: str) -> list[str]:
        """Return an array of strings, empty by default."""
        for index, value in enumerate(self.array(key)):
            if not isinstance(value, str):
                raise ConfigurationError(f"{self.path_of(key)}[{index}]: must be text")
        return self.array(key)

    def numbers(self, key: str) -> list[float]:
        """Return an array of numbers of any size, empty by default."""
        for index, value in enumerate(self.array(key)):
            if isinstance(value, bool) or not isinstance(value, (int, float)):
                raise ConfigurationError(
                    f"{self.path_of(key)}[{index}]: must be a number"
                )
        return self.array(key)

    def child(self, key: str) -> "SettingsReader":
        """Return a reader for the object at a key, empty by default."""
        return SettingsReader(
            self.get(key, {}, (dict,), "an object"), self.path_of(key)
        )

    def children(self, key: str) -> "Sequence[SettingsReader]":
        """Return a reader for each object of the array at a key."""
        return [
            SettingsReader(value, f"{self.path_of(key)}[{index}]")
            for index, value in enumerate(self.array(key))
        ]
