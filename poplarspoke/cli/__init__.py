"""The command line: commands declared as data and what runs them."""
