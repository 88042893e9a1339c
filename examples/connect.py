"""Print shell variables for a running demo, given its line of output."""

import json
import pathlib
import sys
import time

path = pathlib.Path(sys.argv[1])
deadline = time.monotonic() + 120.0
while not path.exists() or not path.read_text().strip():
    if time.monotonic() > deadline:
        sys.exit(f"{path} stayed empty")
    time.sleep(0.2)

demo = json.loads(path.read_text())
print(f"export URL={demo['entry'][0]}")
print(f"export KEY={demo['keys']['counter']}")
print(f"export TURMERICTALLY_OPERATOR={demo['operator']}")
print(f"export TURMERICTALLY_OPERATOR_KEY={demo['operator_key']}")
