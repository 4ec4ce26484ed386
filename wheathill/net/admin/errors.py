"""Requests that are not answered with 200."""


class HttpError(Exception):
    """A request that is answered with an error.

    Attributes:
        status: the HTTP status, one of `response.REASON_PHRASES`.
        message: what was wrong, for the body of the response.
        headers: more header fields of the response.
    """

    def __init__(self, status: int, message: str, **headers: str) -> None:
        super().__init__(message)
        self.status, self.message, self.headers = status, message, headers
