"""Identity of a backend server's life, by which decisions tell servers apart."""

import attrs


@attrs.frozen(cache_hash=True)
class EndpointKey:
    """Identity of one life of a backend server.

    Attributes
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    incarnation : int
        Number that grows each time the backend server starts anew.
    """

    host: str
    port: int
    incarnation: int
