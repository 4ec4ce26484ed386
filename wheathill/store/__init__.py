"""Replicated key-value store for the configuration and state of an installation.

The store has no leader: each instance writes to its own replica immediately, and
replicas converge by anti-entropy. It is disabled unless the operator's configuration
enables it, and none of its modules is imported while it is disabled.

Modules, from the bottom up:

- Conflict-free data types: `version_vector`, `entry_key`, `entry_decoding`,
  `value_entries`, `set_element`, `entries`.
- One replica, free of I/O: `entry_table`, `delta_buffer`, `replica_state`, `eviction`,
  `local_writes`, `leases`, `tombstones`, `merging`, `full_state`, `exchange`,
  `snapshot`, and `replica`, which combines them.
- The protocol between replicas, free of I/O: `messages`, `anti_entropy`.
- Durability: `file_system`, `record_framing`, `store_directory`, `write_ahead_log`,
  `group_commit`.
"""
