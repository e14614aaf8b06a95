#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the late write.
cd "$(dirname "$0")"
exec python3 case.py
