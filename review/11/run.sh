#!/bin/bash
# Exits with 1 if a request that may run once was answered 503 and had run.
cd "$(dirname "$0")" && exec python3 case.py
