"""The server that a base URL names."""

import dataclasses
import ssl
import urllib.parse

_PORTS = {'http': 80, 'https': 443}


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where to connect, and what every request to it states.

    ``tls`` is None for plain connections.  ``authority`` is the value of the
    ``Host`` header, and ``path_prefix`` comes before every path.
    """

    host: str
    port: int
    tls: ssl.SSLContext | None
    authority: str
    path_prefix: str

    @classmethod
    def of_url(cls, url: str) -> 'Origin':
        """Return the origin of an ``http://`` or ``https://`` URL."""
        parts = urllib.parse.urlsplit(url)
        uses_tls = parts.scheme == 'https'
        return cls(
            parts.hostname or '',
            parts.port or _PORTS[parts.scheme],
            ssl.create_default_context() if uses_tls else None,
            parts.netloc.rpartition('@')[2],
            parts.path.rstrip('/'),
        )
