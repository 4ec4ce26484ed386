"""The HTTP endpoint for operators: status, metrics and maintenance mode.

- `server`: accepts requests and handles them.
- `routes`: maps paths and methods to handlers.
- `request`: one HTTP/1.1 request on one connection (RFC 9112).
- `request_target`, `response`: decode request targets and encode responses.
- `errors`: exceptions that become error responses.

Imported only if the proxy has an admin address.
"""
