"""Finds objects that only a garbage collection frees."""

import contextlib
import gc


@contextlib.contextmanager
def left_behind():
    """Yields a list; at the end it has the types of what is left behind."""
    kinds: list[str] = []
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        yield kinds
        gc.collect()
        found = {type(thing) for thing in gc.garbage}
        kinds += sorted(
            f"{kind.__module__}.{kind.__qualname__}"
            for kind in found
            if kind.__module__.startswith("citrondoor")
        )
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
