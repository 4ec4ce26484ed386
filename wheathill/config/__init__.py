"""The one place where configuration is read, checked and given defaults.

- `platform`: what the platform states in JSON, made into a `node.NodeConfig`.
- `operator`: an operator's own TOML file, made into the same.
- `policy_settings`, `listener_settings`: the parts that the simulator's adapter reads
  too.
- `errors`: whatever is wrong is raised as a `ConfigurationError`, whose text names the
  key by its path.
"""
