"""The exception for invalid configuration."""


class ConfigurationError(ValueError):
    """The configuration is invalid.

    The message has one line per error, which starts with the path of the invalid key.
    """
