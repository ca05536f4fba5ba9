#!/usr/bin/env bash
# Two usual clients ask one thing after the other. TROUBLE=1: after 2 s a further client, logged in as they are, sends
# one SET of 16.3 KB that can't be read: 16,300 opening parentheses.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
engines 2
configuration 2 >"$work/mysql.toml"
dispatcher dispatcher "$work/mysql.toml"
TROUBLE=$trouble timeout 90 "$bin/client" nested "$listen" "$tables" >>"$record" 2>&1 &
client=$!
started+=("$client")
wait "$client"
verdict=$?
if [ "$verdict" -le 1 ] && ! kill -0 "$pid_dispatcher" 2>/dev/null; then
    echo "the dispatcher has ended by itself" >>"$record"
    verdict=1
fi
finish "$verdict"
