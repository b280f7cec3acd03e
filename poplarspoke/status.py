"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit statuses of a command or daemon."""

    # The command did what was asked; a daemon has shut down gracefully.
    SUCCESS = 0
    # An internal error of the program or of the daemon that it queried.
    INTERNAL = 1
    # The command line has an unknown command or option, or lacks a required
    # one.
    USAGE = 2
    # A file, a value or a change was refused; what was not printed as
    # accepted has not been changed.
    REFUSED = 3
    # Another change was accepted first; what was not printed as accepted has
    # not been changed.
    CONFLICT = 4
    # No daemon answered; a change that was sent may be in force.
    UNREACHABLE = 5
    # The change was accepted but is not in force on every host yet.
    NOT_IN_FORCE = 6
    # What the command names does not exist.
    NOT_FOUND = 7
    # A check found errors in a configuration, and perhaps warnings.
    ERRORS_FOUND = 8
    # A check found warnings in a configuration, but no error.
    WARNINGS_FOUND = 9
    # The operator interrupted the command.
    INTERRUPTED = 130
