#!/bin/sh
# Builds the stand-ins of this review's scripts. It has no scripts: its cases are days of the bench.
exit 0
