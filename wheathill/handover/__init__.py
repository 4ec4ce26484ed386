"""Hot restart: a new process of a proxy takes over from the running one.

The new process is started beside the old one. It receives the state of the old process
and its open sessions with their descriptors, and accepts connections in its place.

Modules, from the lowest layer to the highest:
    errors, validation: the exception, and checks of single values.
    records: typed records of what is handed over.
    server_codec, state_codec, session_codec: encode and decode each record.
    snapshot, restore: create records of a running proxy, and fill a proxy from records.
    state_receiver: collects the messages of a state, up to a limit.
    messages, protocol, sender, receiver: the protocol between the two processes.
    coordinator: the upgrades that one process takes part in.
"""
