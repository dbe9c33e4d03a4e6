#!/bin/sh
# Plays each day of deploy/days on one installation, one after the other, and prints a line a day.
# Use: scripts/play-days.sh BENCH SITE [DAY...], BENCH being the users' bench program and SITE a site file.
set -eu
bench=$1
site=$2
shift 2
[ $# -gt 0 ] || set -- deploy/days/*.toml
for day in "$@"; do
	"$bench" run "$site" "$day" --why "day of our own: $(basename "$day" .toml)" | grep -E "^$(basename "$day" .toml) |^short of the gate" || echo "$day: no result"
done
