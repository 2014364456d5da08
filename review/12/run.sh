#!/bin/sh
# TROUBLE=0: no worker is unhealthy. KEEP_LOGS=1: keeps the logs.
exec python3 -B "$(dirname "$0")/case.py"
