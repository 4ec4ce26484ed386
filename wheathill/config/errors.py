"""The error of all configuration."""


class ConfigurationError(ValueError):
    """A setting can't be used; the text names its key by its path, one line a fault."""
