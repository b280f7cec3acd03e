"""Runs the benchmarks of ``bench.measures``."""

from bench import measures

if __name__ == '__main__':
    measures.main()
