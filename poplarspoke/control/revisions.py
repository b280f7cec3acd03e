"""Revisions order the changes of a metadata store that may be restored.

A store that comes back from a copy gives out versions again, and its era rises by
one. A revision combines both, era first, in one number that never decreases, so
everything that is ordered by it stays in order across restores.
"""

# A store that writes 400 rows a second needs 1,400 years for 2**44 versions. Both
# parts fit into 64 bits.
VERSION_BITS = 44
ERA_BITS = 20
MAX_VERSION = (1 << VERSION_BITS) - 1
MAX_ERA = (1 << ERA_BITS) - 1
# Numbers that count up in each era: fencing tokens and failovers of a service.
NUMBERS_PER_ERA = 1_000_000


def create_revision(version: int, era: int) -> int:
    """Returns the revision of a version.

    Args:
        version: Version of the store, at most ``MAX_VERSION``; 0 stands for a
            row that does not exist.
        era: Era of the store, at most ``MAX_ERA``.

    Raises:
        ValueError: The version or the era is out of range.
    """
    if not 0 <= version <= MAX_VERSION or not 0 <= era <= MAX_ERA:
        raise ValueError(f'version {version} or era {era} is out of range')
    return era << VERSION_BITS | version


def find_era(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> VERSION_BITS


def find_version(revision: int) -> int:
    """Returns the version of the store that a revision stands for."""
    return revision & MAX_VERSION


def find_next_number(last: int, revision: int) -> int:
    """Returns the number after the last one.

    The numbers of an era are higher than all of earlier eras, also than those
    that a restore has lost.

    Args:
        last: Last number that is known.
        revision: Revision of the records.
    """
    return max(last, find_era(revision) * NUMBERS_PER_ERA) + 1


def is_of_era(number: int, revision: int) -> bool:
    """Returns whether a number was given out in the era of a revision."""
    return number > find_era(revision) * NUMBERS_PER_ERA
