"""Replicated key-value store for the configuration and state of an installation.

There is no leader: each instance writes its own replica at once, and replicas converge
by anti-entropy. The store is off unless an operator's file switches it on, and nothing
of it is imported before.

Modules, from the bottom up:

- Conflict-free data types: `version_vector`, `entry_key`, `entry_decoding`,
  `value_entries`, `set_element`, `entries`.
- One replica, without I/O: `entry_table`, `delta_buffer`, `replica_state`, `eviction`,
  `local_writes`, `leases`, `tombstones`, `merging`, `full_state`, `exchange`,
  `snapshot`, and `replica`, which puts them together.
- The protocol between replicas, without I/O: `messages`, `anti_entropy`.
- Durability: `file_system`, `record_framing`, `store_directory`, `write_ahead_log`,
  `group_commit`.
"""
