"""The HTTP endpoint for operators: status, metrics and maintenance mode.

- `server`: which requests are taken in, and what answers them.
- `routes`: which path and method leads where.
- `request`: one request on one connection, HTTP/1.1 (RFC 9112).
- `request_target`, `response`: what HTTP writes, decoded and encoded.
- `errors`: requests that are not answered with 200.

Imported only where a proxy has an admin address.
"""
