#!/bin/bash
# Exits with 1 if an item runs at the old service after the config has moved its route.
cd "$(dirname "$0")" && exec python3 case.py
