#!/usr/bin/env bash
# Clients ask for lists that are numbered by a user variable. TROUBLE=1: one of eight engines breaks off one list with an
# error of its storage.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
engines 8
configuration 8 >"$work/mysql.toml"
dispatcher dispatcher "$work/mysql.toml"
if [ "$trouble" != 0 ]; then
    echo fail >"$tables/fail"
fi
timeout 90 "$bin/client" numbers "$listen" >>"$record" 2>&1 &
client=$!
started+=("$client")
wait "$client"
finish $?
