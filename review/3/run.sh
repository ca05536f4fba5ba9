#!/usr/bin/env bash
# A client calls a stored function that writes, once. TROUBLE=1: the engine is killed after it has run the function and
# before it has answered.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
engines 4
configuration 4 >"$work/mysql.toml"
dispatcher dispatcher "$work/mysql.toml"
timeout 90 "$bin/client" audit "$listen" "$tables" >>"$record" 2>&1 &
client=$!
started+=("$client")
if [ "$trouble" != 0 ]; then
    until_file slow || cannot_run "no engine got the call"
    read -r name pid <"$tables/slow"
    # The effect comes before the mark, and the answer 400 ms after it.
    kill -KILL "$pid"
    echo "killed: $name" >>"$record"
fi
wait "$client"
finish $?
