"""Stand-ins for the platform, the interpreter, the catalog and callers, for the cases of the review."""
