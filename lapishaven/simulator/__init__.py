"""Runs admission control under the simulator: a binary codec and an adapter process."""
