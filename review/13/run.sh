#!/bin/sh
# TROUBLE=0: the new manifest sets max_attempts to 5. KEEP_LOGS=1: keeps the logs.
exec python3 -B "$(dirname "$0")/case.py"
