#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the kill of the router.
cd "$(dirname "$0")"
exec python3 case.py
