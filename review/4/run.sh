#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/4/record.txt timeout -k 2 110 target/review/holder
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
