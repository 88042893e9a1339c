#!/bin/bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && exec timeout 115 python3 review/4/play.py
