#!/usr/bin/env bash
# Runs a case of the stand-ins: run-case.sh CASE FOLDER TROUBLE. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/release/mulberryd ] && [ -x target/review/release/standins ] || {
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
}
exec target/review/release/standins "$1" "$2" "$3"
