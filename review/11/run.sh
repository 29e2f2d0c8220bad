#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
command -v python3 > /dev/null || exit 2
python3 "$(dirname "$0")/case.py" &
pid=$!
trap 'kill -TERM "$pid"' TERM INT
wait "$pid"
# Anything but a verdict means that the case could not run. Python itself exits with 1 if it cannot load a file.
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
