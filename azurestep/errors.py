"""Typed errors whose messages name the remedy."""


class AzurestepError(Exception):
    """Base of all errors that reach a person.

    Parameters
    ----------
    problem : str
        What went wrong, in one sentence without the final stop.
    remedy : str
        What the reader can do about it.
    """

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}. {remedy}.")
        self.problem = problem
        self.remedy = remedy


class SettingsError(AzurestepError):
    """The settings file can't be used."""


class ConfigurationError(AzurestepError):
    """A configuration document can't be used."""


class PlatformUnavailableError(AzurestepError):
    """The platform's log gave no usable answer before the deadline."""


class PlatformRefusedError(AzurestepError):
    """The platform's log refused a request for good."""


class PublicationRefusedError(AzurestepError):
    """The fold refused a publication."""


class NodeUnreachableError(AzurestepError):
    """A node's operator endpoint gave no answer."""


class PortInUseError(AzurestepError):
    """A listening address is already taken."""


class MessageMalformedError(AzurestepError):
    """A frame from a peer can't be decoded."""


class UsageError(AzurestepError):
    """An argument of the command can't be used."""


class OutcomeUnknownError(AzurestepError):
    """A publication may have taken effect, and nobody could tell in time."""


class LogRestoredError(AzurestepError):
    """The platform's log ends before records that the fleet has read."""
