#!/usr/bin/env bash
# A client posts into a table by one INSERT with a user variable, without a transaction. TROUBLE=1: the engine is
# killed after it has applied the posting and before it has answered.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
engines 4
configuration 4 >"$work/mysql.toml"
dispatcher dispatcher "$work/mysql.toml"
timeout 90 "$bin/client" posting "$listen" "$tables" >>"$record" 2>&1 &
client=$!
started+=("$client")
if [ "$trouble" != 0 ]; then
    until_file slow || cannot_run "no engine got the posting"
    read -r name pid <"$tables/slow"
    # The effect comes before the mark, and the answer 1 s after it.
    kill -KILL "$pid"
    echo "killed: $name" >>"$record"
fi
wait "$client"
finish $?
