"""Runs the measurements on real daemons."""

from bench import measures

if __name__ == '__main__':
    measures.main()
