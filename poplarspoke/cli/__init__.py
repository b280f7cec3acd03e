"""The command line: definitions of the commands and their execution."""
