"""Entry point of ``python -m lapishaven``."""

from lapishaven.cli import app

if __name__ == "__main__":
    app(prog_name="lapishaven")
