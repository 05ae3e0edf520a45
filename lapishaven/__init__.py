"""lapishaven: a match server that carries out cometdrum's decisions on real sockets."""

__version__ = "0.1.0"
