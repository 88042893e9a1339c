#!/bin/bash
# Exits with 1 if an item that fails at each run runs on after 3 x maxAttempts failures.
cd "$(dirname "$0")" && exec python3 case.py
