#!/bin/sh
# Builds the program that the scripts of the cases start: it has their scenarios and stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/stand ./review/testdata/stand
