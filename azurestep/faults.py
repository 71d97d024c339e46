"""Faults of a document, each with its place and its remedy."""

import attrs


@attrs.frozen
class Fault:
    """One problem of a document.

    Attributes
    ----------
    path : str
        JSON path of the field, for example ``$.routes[2].service``.
    problem : str
        What is wrong.
    remedy : str
        What to do about it.
    """

    path: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.problem}; {self.remedy}"
