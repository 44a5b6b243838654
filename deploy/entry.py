"""Starts the entry daemon, sooner after the interpreter than `-m` does.

`-m` imports `runpy` first, which takes as long as the interpreter's own start.
"""

from citrondoor.platform import __main__ as program

program.main()
