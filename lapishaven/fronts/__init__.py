"""Fronts: each maps one wire to the core's requests, and the core's answers back to that wire."""
