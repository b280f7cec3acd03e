"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit statuses; each comment says when one occurs."""

    # The command did what was asked; a daemon has shut down gracefully.
    SUCCESS = 0
    # A fault of the program itself or of a daemon that it asked.
    INTERNAL = 1
    # The command line names an unknown command or option, or lacks one.
    USAGE = 2
    # A file, a value or a change was refused; nothing was changed.
    REFUSED = 3
    # Somebody else's change came first; nothing was changed.
    CONFLICT = 4
    # No daemon answered, so that nothing is known to have happened.
    UNREACHABLE = 5
    # The change was accepted but is not in force on every host yet.
    NOT_IN_FORCE = 6
    # What the command names does not exist.
    NOT_FOUND = 7
    # The operator interrupted the command.
    INTERRUPTED = 130
