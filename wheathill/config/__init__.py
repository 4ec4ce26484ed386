"""Reading, validation and defaults of all configuration.

- `platform`: builds a `node.NodeConfig` from the platform's JSON configuration.
- `operator`: builds a `node.NodeConfig` from an operator's TOML file.
- `policy_settings`, `listener_settings`: the sections that the simulator's adapter
  reads too.
- `errors`: the `ConfigurationError` that reports invalid configuration, with the path
  of each invalid key.
"""
