#!/bin/sh
# Plays the case, with TROUBLE=0 without its disruption, and writes what was sent,
# answered and run to record.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 5 110 python3 -P -B case.py record.txt &
player=$!
# The case ends its processes when it gets the signal.
trap 'kill -TERM "$player" 2>/dev/null; wait "$player"; exit 2' HUP INT TERM
wait "$player"
code=$?
[ -s record.txt ] || exit 2
case $code in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
