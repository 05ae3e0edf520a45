"""What runs requests: each backend carries out the core's commands on one protocol."""
