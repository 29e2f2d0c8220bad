#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
work="$(mktemp -d)"
end() {
    # The stand-in ends what it started; this is for the case that it was killed.
    for file in "$work"/*.pids; do
        [ -e "$file" ] && while read -r pid; do
            grep -q "$work" "/proc/$pid/environ" 2>/dev/null && kill -9 "$pid" 2>/dev/null
        done <"$file"
    done
    rm -rf "$work"
}
trap end EXIT
[ -x target/review/standin ] && [ -x target/release/fuchsiabay-gateway ] || exit 2
target/review/standin map "$work" "$here/record.txt"
# Anything but a verdict means that the case could not run.
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
