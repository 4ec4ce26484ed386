"""Reading of a JSON object's values; each fault is named by the path of its key."""

from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

from wheathill.config.errors import ConfigurationError

# No setting means more than that, and what is calculated from it would be infinite.
MAX_NUMBER = 1e15
# The largest integer up to which a float, as JSON has them, holds each one exactly.
MAX_COUNT = 2**53

Choice = TypeVar("Choice")
Value = TypeVar("Value")


class SettingsReader:
    """One JSON object and its path.

    An absent or null value gives the default, and is a fault where there is none. All
    methods that read raise `ConfigurationError` for a value of another kind.
    """

    def __init__(self, values: object, path: str = "") -> None:
        if not isinstance(values, dict):
            raise ConfigurationError(
                f"{path or 'the configuration'}: must be an object"
            )
        self.values: dict[str, Any] = values
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path by which faults name that key."""
        return f"{self.path}.{key}" if self.path else key

    def get(
        self,
        key: str,
        default: Value | None,
        kinds: tuple[type[Value], ...],
        description: str,
    ) -> Value:
        """Return a value of one of those types, which a fault describes so."""
        value = self.values.get(key)
        if value is None:
            if default is None:
                raise ConfigurationError(f"{self.path_of(key)}: is missing")
            return default
        # To Python a bool is an int.
        is_unexpected_bool = isinstance(value, bool) and bool not in kinds
        if not isinstance(value, kinds) or is_unexpected_bool:
            raise ConfigurationError(f"{self.path_of(key)}: must be {description}")
        return value

    def number(
        self,
        key: str,
        default: float | None,
        minimum: float = 0.0,
        maximum: float = MAX_NUMBER,
    ) -> float:
        """Return a number within `minimum` and `maximum`."""
        value = self.get(key, default, (int, float), "a number")
        if not minimum <= value <= maximum:
            raise ConfigurationError(
                f"{self.path_of(key)}: {value} is not within"
                f" {minimum:g} and {maximum:g}"
            )
        return value

    def milliseconds(self, key: str, default_ms: float) -> float:
        """Return a time in milliseconds, which the setting gives in seconds."""
        return self.number(key, default_ms / 1000) * 1000

    def count(self, key: str, default: int, minimum: int = 0) -> int:
        """Return a whole number; a fraction is cut off."""
        return int(self.number(key, default, minimum, MAX_COUNT))

    def flag(self, key: str, default: bool = False) -> bool:
        """Return true or false."""
        return self.get(key, default, (bool,), "true or false")

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return self.get(key, default, (str,), "text")

    def choice(self, key: str, choices: Mapping[str, Choice], default: str) -> Choice:
        """Return what `choices` has for the text of that key."""
        value = self.text(key, default)
        if value not in choices:
            raise ConfigurationError(
                f"{self.path_of(key)}: {value!r} is none of {', '.join(choices)}"
            )
        return choices[value]

    def array(self, key: str) -> list[Any]:
        """Return an array, empty by default, whose elements are not checked."""
        return self.get(key, [], (list,), "an array")

    def texts(self, key: str) -> list[str]:
        """Return an array of strings."""
        for index, value in enumerate(self.array(key)):
            if not isinstance(value, str):
                raise ConfigurationError(f"{self.path_of(key)}[{index}]: must be text")
        return self.array(key)

    def numbers(self, key: str) -> list[float]:
        """Return an array of numbers of any size."""
        for index, value in enumerate(self.array(key)):
            if isinstance(value, bool) or not isinstance(value, (int, float)):
                raise ConfigurationError(
                    f"{self.path_of(key)}[{index}]: must be a number"
                )
        return self.array(key)

    def child(self, key: str) -> "SettingsReader":
        """Return a reader of the object under that key, empty by default."""
        return SettingsReader(
            self.get(key, {}, (dict,), "an object"), self.path_of(key)
        )

    def children(self, key: str) -> "Sequence[SettingsReader]":
        """Return a reader of each object in the array under that key."""
        return [
            SettingsReader(value, f"{self.path_of(key)}[{index}]")
            for index, value in enumerate(self.array(key))
        ]
