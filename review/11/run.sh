#!/bin/sh
# TROUBLE=0: without the loss of power. KEEP_LOGS=1: keeps the daemons' logs.
exec python3 -B "$(dirname "$0")/case.py"
