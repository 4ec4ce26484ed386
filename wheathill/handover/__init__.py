"""An upgrade in flight (hot restart): one process of a proxy takes over from another.

The new process is started beside the old one. It receives the old one's state and its
open sessions with their descriptors, and accepts clients in its place.

Modules, from the bottom up:
    errors, validation: refusals, and the checks of single values.
    records: what goes over, as typed records.
    server_codec, state_codec, session_codec: each record's form on the wire.
    snapshot, restore: records made of a running proxy, and a proxy filled from records.
    state_receiver: collects the messages of a state, bounded.
    messages, protocol, sender, receiver: the conversation of the two processes.
    coordinator: an upgrade as one process sees it.
"""
