#!/bin/sh
# Plays the case; with TROUBLE=0 without its disruption.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 119 python3 -P case.py
