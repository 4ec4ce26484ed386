"""Reading of the listeners, the classes of sessions that a proxy accepts."""

from wheathill.config.settings_reader import SettingsReader
from wheathill.model import Idempotency, Listener

IDEMPOTENCY_BY_SETTING = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {scope: scope for scope in ("all", "zone", "cell")}


def read_listeners(settings: SettingsReader) -> list[Listener]:
    """Return the listeners in the order of the settings.

    Raises:
        ConfigurationError: a value is invalid.
    """
    listeners = [_read_listener(item) for item in settings.children("listeners")]
    targets = settings.child("familyInfo").numbers("messageAimS")
    # Listeners beyond the last target keep the default.
    for listener, target_s in zip(listeners, targets, strict=False):
        listener.message_target_ms = target_s * 1000
    return listeners


def _read_listener(item: SettingsReader) -> Listener:
    return Listener(
        name=item.text("name", ""),
        idempotency=item.choice("repeat", IDEMPOTENCY_BY_SETTING, "fragile"),
        dedup_scope=item.choice("dedupScope", DEDUP_SCOPES, "cell"),
        dedup_window_ms=item.milliseconds("windowS", 0.0),
        handshake_target_ms=item.milliseconds("handshakeTargetS", 500.0),
        dial_timeout_ms=item.milliseconds("dialTimeoutS", 2000.0),
        priority_weight=item.number("utility", 1.0),
    )
