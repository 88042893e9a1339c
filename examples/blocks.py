"""Print the plain shell blocks of a Markdown page, in order."""

import pathlib
import sys

inside = False
for line in pathlib.Path(sys.argv[1]).read_text().splitlines():
    if line == "```sh":
        inside = True
    elif line.startswith("```"):
        inside = False
    elif inside:
        print(line)
