"""An upgrade in flight: the process that is started beside another takes over state, door and sessions."""
