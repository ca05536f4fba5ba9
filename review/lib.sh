# Shared by the cases' scripts: a small deployment of the MySQL frontend on loopback, with stand-ins for engines.
# Sourced with `here` set to the folder of the case.
set -u
review=$(cd "$here/.." && pwd)
root=$(cd "$review/.." && pwd)
record=$here/record.txt
trouble=${TROUBLE:-1}
bin=$review/bin
work=$(mktemp -d)
tables=$work/tables
mkdir -p "$tables" "$work/state"
started=()

clean_up() {
    for pid in "${started[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

cannot_run() {
    echo "cannot run: $1" | tee -a "$record"
    exit 2
}

: >"$record"
echo "TROUBLE=$trouble" >>"$record"
[ -x "$bin/engine" ] && [ -x "$bin/client" ] || cannot_run "review/build.sh has not been run"
[ -x "$root/target/release/hitchwinch" ] || cannot_run "the build command of the deploy file has not been run"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")

# start NAME COMMAND...: starts a process from the root and notes its id.
start() {
    local name=$1
    shift
    (cd "$root" && exec "$@") >>"$work/$name.log" 2>&1 &
    started+=($!)
    eval "pid_${name//-/_}=$!"
}

# engines N: starts engine-1 to engine-N.
engines() {
    mapfile -t ports < <("$bin/client" ports $(($1 + 2)))
    listen=${ports[$1]}
    admin=${ports[$(($1 + 1))]}
    for index in $(seq 1 "$1"); do
        start "engine-$index" "$bin/engine" "engine-$index" "$tables" "${ports[$((index - 1))]}"
    done
}

# configuration N: writes the dispatcher's file, for engine-1 to engine-N.
configuration() {
    cat <<END
listen = "127.0.0.1:$listen"
admin_addr = "127.0.0.1:$admin"
state_dir = "$work/state"
read_class = "lookup"
write_class = "load"

[[user]]
name = "till"
password = "till"

[[user]]
name = "depot"
password = "depot"

[[user]]
name = "kitchen"
password = "kitchen"

[[class]]
name = "lookup"
worth = 1.0
aim_ms = 2000.0
deadline_ms = 10000.0
waits_for_loads = true

[[class]]
name = "load"
worth = 4.0
aim_ms = 4000.0
deadline_ms = 20000.0
threads = 2
unsafe = true
holds_tables = true

[engines]
user = "dispatcher"
password = "dispatcher"
connections = 32
END
    for index in $(seq 1 "$1"); do
        printf '\n[[engine]]\nid = "engine-%s"\naddress = "127.0.0.1:%s"\n' "$index" "${ports[$((index - 1))]}"
    done
}

# dispatcher NAME FILE: starts the program with the run command of the deploy file.
dispatcher() {
    start "$1" /bin/sh -c "$run --mysql $2"
}

# until_file FILE: waits for a file with content in the tables' folder, 40 s at most, or until the client has ended.
until_file() {
    for _ in $(seq 1 2000); do
        [ -s "$tables/$1" ] && return 0
        kill -0 "$client" 2>/dev/null || return 1
        sleep 0.02
    done
    return 1
}

# finish VERDICT: notes what ran at the engines and what the dispatcher logged, and exits.
finish() {
    {
        echo "--- run at the engines"
        cat "$tables/engines.log" 2>/dev/null
        echo "--- logged by the dispatcher"
        cat "$work"/dispatcher*.log
        echo "--- verdict: $1"
    } >>"$record"
    [ "$1" -le 2 ] || exit 2
    exit "$1"
}
