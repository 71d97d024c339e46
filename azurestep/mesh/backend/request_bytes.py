"""Encoding of requests to the backend server."""

from ...platform.headers import to_backend
from ..messages import Request

BODILESS_METHODS = (b"GET", b"HEAD")


def encode_request(
    request: Request, content: bytes, whole: bool, remaining_ms: float
) -> bytes:
    """Return the head and the available part of the body.

    Parameters
    ----------
    content : bytes
        Available part of the body.
    whole : bool
        Whether the body ends with this part.
    remaining_ms : float
        Time after which the backend server stops work.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    lines += to_backend(
        request.headers, remaining_ms, request.instance_id, request.calling_service
    )
    if whole:
        if content or request.length > 0 or request.method not in BODILESS_METHODS:
            lines.append(b"Content-Length: %d\r\n" % len(content))
    elif request.length >= 0:
        lines.append(b"Content-Length: %d\r\n" % request.length)
    else:
        lines.append(b"Transfer-Encoding: chunked\r\n")
        content = encode_body_part(request, content, False)
    lines.append(b"\r\n")
    lines.append(content)
    return b"".join(lines)


def encode_body_part(request: Request, data: bytes, whole: bool) -> bytes:
    """Return a part of the body, chunked if its length is unknown.

    ``whole`` tells whether the body ends with this part.
    """
    if request.length >= 0:
        return data
    chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
    return chunk + (b"0\r\n\r\n" if whole else b"")
