"""Exceptions that become HTTP error responses."""


class HttpError(Exception):
    """Makes the server answer a request with an error response.

    Attributes:
        status: the HTTP status code, one of `response.REASON_PHRASES`.
        message: the error message in the response body.
        headers: additional response headers.
    """

    def __init__(self, status: int, message: str, **headers: str) -> None:
        super().__init__(message)
        self.status, self.message, self.headers = status, message, headers
