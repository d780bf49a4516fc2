#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" && exec python3 case.py
