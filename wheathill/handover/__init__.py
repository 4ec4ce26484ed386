"""An upgrade in flight: the process that is started beside another takes over its state, door and sessions."""
