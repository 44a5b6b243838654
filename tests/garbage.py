"""Finds objects that stay: in reference cycles, or reachable for good."""

import contextlib
import gc
import types

_SHARED = (type, types.ModuleType, types.FunctionType)


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


def count_reachable(roots, excluded=()) -> int:
    """Returns how many objects are reachable, without types and modules."""
    seen = {id(thing) for thing in excluded}
    pending = list(roots)
    count = 0
    while pending:
        thing = pending.pop()
        if id(thing) in seen or isinstance(thing, _SHARED):
            continue
        seen.add(id(thing))
        count += 1
        pending += gc.get_referents(thing)
    return count
