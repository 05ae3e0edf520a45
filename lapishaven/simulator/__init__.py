"""The admission module on the wire of the simulator: the binary codec and the adapter process."""
