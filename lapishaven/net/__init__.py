"""The thin driver: epoll, generators as coroutines, ring buffers. It knows no protocol."""
