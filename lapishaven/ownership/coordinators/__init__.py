"""Implementations of the coordinator: a SQLite file shared by the processes of one machine, or etcd v3."""
