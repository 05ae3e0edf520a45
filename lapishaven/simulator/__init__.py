"""Admission control under the simulator: the binary codec and the adapter process."""
