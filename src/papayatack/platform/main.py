"""Entry point of the program on the platform."""

import gc

__all__ = ["main"]


def main() -> None:
    """Import the program and run it.

    Garbage collection is disabled during the imports: they create no garbage, so that
    a collection would cost time and free nothing.
    """
    gc.disable()
    from papayatack.platform.program import run_program

    gc.enable()
    run_program()


if __name__ == "__main__":
    main()
