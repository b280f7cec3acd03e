"""Tools of the repository."""
