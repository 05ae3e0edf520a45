"""A soak of real server processes: seeded series of signals, upgrades, kills and outages, under load, with a checker.

``plan`` draws what happens in a run from its seed, ``trial`` carries it out, ``rules`` finds the rules that were
broken, and ``command`` runs many seeds.
"""
