"""Events of the log, one JSON line each; docs/on-call.md describes them.

Code that writes or reads the log uses these constants, so that renaming an event can't
leave a reader behind.
"""

import enum


class LogEvent(enum.StrEnum):
    """Values of the `event` field of a log line."""

    # Process lifecycle.
    LISTENING = "listening"
    READY = "ready"
    ADMIN_LISTENING = "admin_listening"
    SHUTDOWN_STARTED = "shutdown_started"
    SHUTDOWN_FINISHED = "shutdown_finished"
    CONFIGURATION_RELOADED = "configuration_reloaded"
    CONFIGURATION_ERROR = "configuration_error"
    INTERNAL_ERROR = "internal_error"
    METRICS = "metrics"

    # Sessions and attempts.
    SESSION_ENDED = "session_ended"
    ATTEMPT_FAILED = "attempt_failed"
    DEADLINE_MISSED = "deadline_missed"
    STANDING_SESSION_LOST = "standing_session_lost"
    POLICY_DECISION = "policy_decision"
    PROTOCOL_ERROR = "protocol_error"

    # The endpoint list and maintenance.
    ENDPOINT_WATCH_LOST = "endpoint_watch_lost"
    ENDPOINT_WATCH_RESTORED = "endpoint_watch_restored"
    STALE_ENDPOINT_LIST = "stale_endpoint_list"
    ENDPOINT_PHASE_FROM_PEER = "endpoint_phase_from_peer"
    MAINTENANCE_ENTERED = "maintenance_entered"
    MAINTENANCE_EXITED = "maintenance_exited"
    MAINTENANCE_FILE_ERROR = "maintenance_file_error"

    # Handover between processes during an upgrade.
    HANDOVER_RECEIVED = "handover_received"
    HANDOVER_UNAVAILABLE = "handover_unavailable"
    HANDOVER_SENT = "handover_sent"
    HANDOVER_ROLLED_BACK = "handover_rolled_back"
    HANDOVER_ERROR = "handover_error"
    ACCEPTING_CONNECTIONS = "accepting_connections"
    PREVIOUS_PROCESS_EXITED = "previous_process_exited"

    # Cluster membership and peers.
    MEMBERSHIP = "membership"
    MEMBER_STATE_CHANGED = "member_state_changed"
    CLUSTER_VIEW_CHANGED = "cluster_view_changed"
    ZONE_VIEW_CHANGED = "zone_view_changed"
    PEER_HEALTH_VERDICT = "peer_health_verdict"
    FRAME_DROPPED = "frame_dropped"
