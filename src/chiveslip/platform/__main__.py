"""Runs a gateway: ``python -m chiveslip.platform``.

Imports the gateway without garbage collections, which would traverse all modules again
and again while almost nothing of them can be freed.
"""

from __future__ import annotations

import gc

# Number of new container objects after which the youngest generation is collected. A
# gateway creates hundreds of them for each request, and reference counting frees nearly
# all.
_COLLECTION_THRESHOLD = 10_000


def _main() -> None:
    gc.disable()
    from chiveslip.platform.main import main

    gc.freeze()
    gc.set_threshold(_COLLECTION_THRESHOLD)
    gc.enable()
    main()


if __name__ == "__main__":
    _main()
