#!/usr/bin/env bash
# Guards against the failures of once.sh in the other deployment: tickets.
# usage: once_burdekin.sh BUILD
exec bash tests/faults/once.sh "$1" burdekin 2 32
