#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves out the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
work="$(mktemp -d)" || exit 2
end() {
    # The stand-in ends what it started; this is for the case that it was ended itself.
    if [ -e "$work/pids" ]; then
        while read -r pid; do
            grep -q "$work" "/proc/$pid/environ" 2>/dev/null && kill -9 "$pid" 2>/dev/null
        done <"$work/pids"
    fi
    rm -rf "$work"
}
trap end EXIT
trap 'kill "$child" 2>/dev/null; exit 2' INT TERM
[ -x target/review/standin-2 ] && [ -x target/release/fuchsiabay-gateway ] || exit 2
target/review/standin-2 budget "$here" "$work" &
child=$!
wait "$child"
# Anything but a verdict means that the case could not run.
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
