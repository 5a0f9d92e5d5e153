"""The program on the platform."""

import gc

__all__ = ["main"]


def main() -> None:
    """Load the program and run it.

    Nothing that a start loads is garbage: the collector would walk it in vain.
    """
    gc.disable()
    from papayatack.platform.program import run_program

    gc.enable()
    run_program()


if __name__ == "__main__":
    main()
