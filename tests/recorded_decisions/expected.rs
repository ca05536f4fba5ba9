//! What each profile brought when it was recorded.

/// How often each kind of line came in all streams of a profile, and the digest of all lines.
pub(crate) struct Expected {
    pub(crate) profile: &'static str,
    pub(crate) counts: &'static str,
    pub(crate) digest: &'static str,
}

pub(crate) const EXPECTED: &[Expected] = &[
    Expected {
        profile: "one_gateway",
        counts: "arrival=3714 avoided=897 cancel=869 client-left=749 end-cancelled=808 end-error=176 \
            end-full=193 end-not-sent=27 end-reset=97 end-served=1953 end-timed-out=77 \
            end-unreachable=15 fail=135 list-failure=16 list-patch=198 list-stale=22 list-whole=10 \
            load-report=655 note-done=876 note-idle=82 note-spills=110 note-waits-load=66 \
            note-waits-memory=68 note-works=95 refuse=682 send=3495 share=69 streaming=178 \
            timer=3605 wake=3621",
        digest: "03a3d68a827dff17e10801041549b7847c8beebb46562cb13c2b8248fb4d3f7e",
    },
    Expected {
        profile: "three_gateways_in_zones",
        counts: "arrival=3635 avoided=1226 cancel=1014 client-left=864 end-cancelled=950 end-error=190 \
            end-full=157 end-not-sent=32 end-reset=103 end-served=2282 end-timed-out=96 \
            end-unreachable=13 fail=132 list-failure=16 list-patch=188 list-stale=22 list-whole=10 \
            load-report=640 note-done=879 note-idle=81 note-spills=112 note-waits-load=66 \
            note-waits-memory=82 note-works=104 refuse=179 send=3971 share=75 streaming=182 \
            timer=3602 wake=3618",
        digest: "70a9ec1d8db5384f5b64842e76fa57282fbce0b871af453afa3e04191bf62183",
    },
    Expected {
        profile: "fifty_gateways_with_probes",
        counts: "arrival=2242 avoided=1123 cancel=618 client-left=543 end-cancelled=580 end-error=105 \
            end-full=113 end-not-sent=17 end-reset=65 end-served=1378 end-timed-out=49 \
            end-unreachable=11 fail=81 list-failure=16 list-patch=178 list-stale=22 list-whole=10 \
            load-report=770 note-done=516 note-idle=62 note-spills=66 note-waits-load=56 \
            note-waits-memory=40 note-works=67 probe=111 refuse=117 send=2420 share=70 streaming=124 \
            timer=3583 wake=3599",
        digest: "698524974edb622c7567274f77dd8290bfc4f002327afc86ba2777da6671a601",
    },
    Expected {
        profile: "three_hundred_gateways_and_restarts",
        counts: "arrival=1857 avoided=1290 cancel=396 client-left=361 end-cancelled=367 end-error=80 \
            end-full=69 end-not-sent=7 end-reset=57 end-served=949 end-timed-out=45 \
            end-unreachable=19 fail=72 list-failure=16 list-patch=722 list-stale=21 list-whole=11 \
            load-report=1146 note-done=369 note-idle=60 note-spills=53 note-waits-load=33 \
            note-waits-memory=34 note-works=73 probe=512 refuse=352 send=1661 share=68 streaming=86 \
            timer=3579 wake=3597",
        digest: "14821c00446ba07e8538d4697c680d463659e1ad91507f4381532390781c1e2c",
    },
    Expected {
        profile: "loads_hold_tables",
        counts: "arrival=3680 avoided=1180 cancel=1950 client-left=572 end-cancelled=1893 end-error=202 \
            end-full=229 end-not-sent=32 end-reset=109 end-served=1877 end-timed-out=41 \
            end-unreachable=20 fail=186 list-failure=16 list-patch=188 list-stale=20 list-whole=12 \
            load-report=627 note-done=4404 note-idle=307 note-spills=582 note-waits-load=358 \
            note-waits-memory=339 note-works=305 refuse=786 send=4563 share=68 streaming=166 \
            terms=4563 timer=3601 wake=3617",
        digest: "5528e6f1cac37b7c470c284cc2c44c1de4b17d48b9a6b23df6b2cea090b625c1",
    },
    Expected {
        profile: "keys_in_order",
        counts: "arrival=3646 avoided=994 cancel=409 client-left=394 end-cancelled=372 end-error=177 \
            end-full=186 end-not-sent=20 end-reset=90 end-served=1492 end-timed-out=69 \
            end-unreachable=7 fail=116 list-failure=16 list-patch=187 list-stale=19 list-whole=13 \
            load-report=638 note-done=556 note-idle=73 note-spills=77 note-waits-load=45 \
            note-waits-memory=57 note-works=58 refuse=1429 send=2510 share=69 streaming=131 \
            timer=3598 wake=3613",
        digest: "4181d1b4c7d4f0b821e914ac6f25110098ec7a0d26ee1b849c7d66f6ec9548a8",
    },
    Expected {
        profile: "tenants_and_retry_budget",
        counts: "arrival=3654 avoided=1854 cancel=319 client-left=329 end-cancelled=273 end-error=225 \
            end-full=257 end-not-sent=15 end-reset=106 end-served=905 end-timed-out=93 \
            end-unreachable=14 fail=186 list-failure=16 list-patch=182 list-stale=23 list-whole=9 \
            load-report=645 note-done=336 note-idle=56 note-spills=44 note-waits-load=26 \
            note-waits-memory=27 note-works=68 refuse=2109 send=1947 share=73 streaming=82 \
            timer=3601 wake=3616",
        digest: "e6617bc492cd26c565fa45108acfe8754bad9b72eefaf77e21ac7ddad56c6f73",
    },
    Expected {
        profile: "memory_overcommitted",
        counts: "arrival=5887 avoided=681 cancel=1137 client-left=555 end-cancelled=1079 end-error=161 \
            end-full=168 end-not-sent=42 end-reset=134 end-served=2004 end-timed-out=82 \
            end-unreachable=34 fail=282 list-failure=16 list-patch=191 list-stale=20 list-whole=12 \
            load-report=640 note-done=2850 note-idle=229 note-spills=377 note-waits-load=215 \
            note-waits-memory=204 note-works=241 refuse=2692 send=3890 share=69 streaming=194 \
            terms=3890 timer=3605 wake=3621",
        digest: "68e797ad61c66ab4605d2f1be66a246f815285106128336f7bde8b1b4878e78d",
    },
    Expected {
        profile: "list_by_subscription",
        counts: "arrival=3710 avoided=1352 cancel=1107 client-left=881 end-cancelled=1026 end-error=173 \
            end-full=185 end-not-sent=32 end-reset=134 end-served=1884 end-timed-out=128 \
            end-unreachable=56 fail=162 list-failure=16 list-patch=1207 list-stale=26 list-whole=35 \
            load-report=653 note-done=901 note-idle=95 note-spills=139 note-waits-load=72 \
            note-waits-memory=70 note-works=88 refuse=481 send=3835 share=83 streaming=166 \
            subscribe=29 terms=3835 timer=3606 wake=3621",
        digest: "de7813b2d50a9b5a55b9ea6f16a1ec65eeb255d341b1f9c9a04cdcaaccc74427",
    },
    Expected {
        profile: "hedging_in_places",
        counts: "arrival=3661 avoided=1620 client-left=648 end-error=292 end-full=308 end-not-sent=23 \
            end-reset=151 end-served=2393 end-timed-out=128 end-unreachable=16 fail=176 \
            list-failure=16 list-patch=183 list-stale=22 list-whole=10 load-report=653 \
            note-done=1256 note-idle=111 note-spills=142 note-waits-load=104 note-waits-memory=96 \
            note-works=112 refuse=691 send=3500 share=68 streaming=163 timer=3603 wake=3619",
        digest: "dc11b83fa67eb5db0cdfb7d56fe4f1d8967daa2caf2373eaa59730110ee2a5ae",
    },
    Expected {
        profile: "core_alone",
        counts: "answer-failed=158 answer-refused=868 answer-served=1355 answer-timed-out=366 \
            answering=775 drop=662 end-error=124 end-full=125 end-not-sent=23 end-reset=147 \
            end-served=1839 figures=600 leave=231 list-patch=150 list-stale=12 list-whole=53 \
            note-done=677 note-idle=41 note-spills=93 note-waits-load=64 note-waits-memory=50 \
            note-works=44 open=3013 share=81 start=2429 state=15003 tick=3350",
        digest: "e2fd4a14d600a4addfde810c5b0c83723a6ae2d38e57b23455a14a3fc99b7d77",
    },
    Expected {
        profile: "core_with_few_open_requests",
        counts: "answer-failed=260 answer-refused=2818 answer-served=1227 answer-timed-out=227 \
            answering=791 drop=840 end-error=112 end-full=108 end-not-sent=13 end-reset=151 \
            end-served=1856 figures=604 leave=374 list-patch=156 list-stale=12 list-whole=58 \
            note-done=1903 note-idle=125 note-spills=227 note-waits-load=147 note-waits-memory=153 \
            note-works=122 open=4788 share=74 start=2385 state=19401 tick=3213",
        digest: "c15856018f895c5ded1533731a8a3ae07f207ce4598df1a8b322adcf882470c1",
    },
    Expected {
        profile: "core_with_peers_and_operators",
        counts: "answer-failed=135 answer-refused=1519 answer-served=979 answer-timed-out=254 \
            answering=562 drop=443 end-error=95 end-full=89 end-not-sent=9 end-reset=87 \
            end-served=1310 figures=582 hold-out=202 leave=214 list-patch=163 list-stale=12 \
            list-whole=53 note-done=470 note-idle=32 note-spills=71 note-waits-load=32 \
            note-waits-memory=42 note-works=21 open=3039 peer-message=601 put-back=194 share=73 \
            start=1677 state=13192 tell=408 tick=3194",
        digest: "bc1ab88f8403eec3e0f51b2084d1a199de1ebc4583288d4f0e98c1ad6d15d34c",
    },
    Expected {
        profile: "core_with_loads_that_stops",
        counts: "answer-failed=126 answer-refused=1757 answer-served=805 answer-timed-out=209 \
            answering=639 drop=958 end-error=92 end-full=91 end-not-sent=14 end-reset=95 \
            end-served=1576 figures=632 hold-out=191 leave=256 list-patch=148 list-stale=12 \
            list-whole=54 note-done=1966 note-idle=108 note-spills=273 note-waits-load=144 \
            note-waits-memory=166 note-works=134 open=3002 put-back=183 share=72 start=1917 \
            state=16390 stop=12 tick=2270",
        digest: "e91769c02465d5e6e416501f7b1bef2b3744d4b6a981c85c42563419769b33d1",
    },
    Expected {
        profile: "scenario calm",
        counts: "simulated-events=9232 simulated-attempts=1882",
        digest: "d7ec903d70b37253",
    },
    Expected {
        profile: "scenario rolling-restart",
        counts: "simulated-events=8307 simulated-attempts=1686",
        digest: "4ffde84dec2bbec0",
    },
    Expected {
        profile: "scenario festival-night",
        counts: "simulated-events=17355 simulated-attempts=3930",
        digest: "e59fec09301a2a72",
    },
];
