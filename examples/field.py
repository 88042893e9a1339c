"""Print one field of the JSON object, or of the first row, on standard input."""

import json
import sys

value = json.load(sys.stdin)
row = value[0] if isinstance(value, list) else value
print(row[sys.argv[1]])
