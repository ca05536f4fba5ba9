//! The recorded counts and digests of each profile.

/// Number of lines of each kind in all streams of a profile, and the digest of all lines.
pub(crate) struct Expected {
    pub(crate) profile: &'static str,
    pub(crate) counts: &'static str,
    pub(crate) digest: &'static str,
}

pub(crate) const EXPECTED: &[Expected] = &[
    Expected {
        profile: "one_gateway",
        counts: "arrival=3675 avoided=901 cancel=848 client-left=721 end-cancelled=796 end-error=184 \
            end-full=178 end-not-sent=31 end-reset=95 end-served=2063 end-timed-out=69 \
            end-unreachable=13 fail=124 list-failure=16 list-patch=197 list-stale=22 list-whole=10 \
            load-report=659 note-done=927 note-idle=76 note-spills=112 note-waits-load=67 \
            note-waits-memory=72 note-works=104 refuse=552 send=3611 share=65 streaming=160 \
            timer=3602 wake=3618",
        digest: "7130a08aa09c19a6c60b7c17e21927cb6c487eab271828c7d8d4c56e14b6a04b",
    },
    Expected {
        profile: "three_gateways_in_zones",
        counts: "arrival=3729 avoided=1151 cancel=832 client-left=693 end-cancelled=775 end-error=196 \
            end-full=199 end-not-sent=44 end-reset=100 end-served=2238 end-timed-out=83 \
            end-unreachable=15 fail=121 list-failure=16 list-patch=202 list-stale=24 list-whole=8 \
            load-report=660 note-done=805 note-idle=88 note-spills=118 note-waits-load=75 \
            note-waits-memory=66 note-works=85 refuse=451 send=3816 share=69 streaming=153 \
            timer=3601 wake=3617",
        digest: "633b906050e3c8d68763f7524116ab98475757be7b6451ddd9048d175ca92c4d",
    },
    Expected {
        profile: "fifty_gateways_with_probes",
        counts: "arrival=2227 avoided=1089 cancel=610 client-left=531 end-cancelled=579 end-error=101 \
            end-full=121 end-not-sent=13 end-reset=73 end-served=1348 end-timed-out=50 \
            end-unreachable=10 fail=77 list-failure=16 list-patch=187 list-stale=20 list-whole=12 \
            load-report=763 note-done=510 note-idle=67 note-spills=65 note-waits-load=42 \
            note-waits-memory=54 note-works=75 probe=124 refuse=125 send=2400 share=78 streaming=106 \
            timer=3589 wake=3605",
        digest: "b739be49003640008e5e936efa71ae646cd8c54562b3fffda312c5571a061fbd",
    },
    Expected {
        profile: "three_hundred_gateways_and_restarts",
        counts: "arrival=1837 avoided=1149 cancel=416 client-left=367 end-cancelled=374 end-error=78 \
            end-full=82 end-not-sent=9 end-reset=50 end-served=945 end-timed-out=67 \
            end-unreachable=14 fail=69 list-failure=16 list-patch=755 list-stale=21 list-whole=11 \
            load-report=1109 note-done=385 note-idle=51 note-spills=63 note-waits-load=37 \
            note-waits-memory=39 note-works=74 probe=489 refuse=343 send=1673 share=62 streaming=86 \
            timer=3588 wake=3605",
        digest: "f4430315e993b2c00d350bd08c1a85e640199ad65682752df5cb6cf9af1a4363",
    },
    Expected {
        profile: "loads_hold_tables",
        counts: "arrival=3684 avoided=1003 cancel=1964 client-left=592 end-cancelled=1900 end-error=175 \
            end-full=218 end-not-sent=35 end-reset=122 end-served=1898 end-timed-out=53 \
            end-unreachable=16 fail=181 list-failure=16 list-patch=182 list-stale=20 list-whole=12 \
            load-report=646 note-done=4650 note-idle=347 note-spills=613 note-waits-load=352 \
            note-waits-memory=406 note-works=348 refuse=765 send=4582 share=72 streaming=193 \
            terms=4582 timer=3606 wake=3622",
        digest: "8c19eea772d7ed3d5501e7bee55f90ca6d7dab29e22e7194cda3f41551f27df8",
    },
    Expected {
        profile: "keys_in_order",
        counts: "arrival=3684 avoided=1157 cancel=423 client-left=385 end-cancelled=377 end-error=158 \
            end-full=188 end-not-sent=21 end-reset=90 end-served=1388 end-timed-out=82 \
            end-unreachable=13 fail=120 list-failure=16 list-patch=189 list-stale=17 list-whole=15 \
            load-report=642 note-done=594 note-idle=77 note-spills=70 note-waits-load=53 \
            note-waits-memory=48 note-works=72 refuse=1511 send=2411 share=69 streaming=137 \
            timer=3604 wake=3620",
        digest: "c647e5bbbcdc6ccf11447589e671fe39d36a1a207579f46bef06d2e77a491815",
    },
    Expected {
        profile: "tenants_and_retry_budget",
        counts: "arrival=3646 avoided=1689 cancel=296 client-left=299 end-cancelled=248 end-error=222 \
            end-full=216 end-not-sent=14 end-reset=120 end-served=881 end-timed-out=100 \
            end-unreachable=9 fail=189 list-failure=16 list-patch=201 list-stale=22 list-whole=10 \
            load-report=640 note-done=436 note-idle=70 note-spills=51 note-waits-load=30 \
            note-waits-memory=35 note-works=48 refuse=2110 send=1883 share=70 streaming=105 \
            timer=3598 wake=3614",
        digest: "01162f2d322b3fc8b00e3385fc22ca376bf0afa39577c9e859d714dfeb7791a2",
    },
    Expected {
        profile: "memory_overcommitted",
        counts: "arrival=5896 avoided=649 cancel=1173 client-left=542 end-cancelled=1129 end-error=176 \
            end-full=177 end-not-sent=24 end-reset=106 end-served=2058 end-timed-out=64 \
            end-unreachable=16 fail=279 list-failure=16 list-patch=183 list-stale=17 list-whole=15 \
            load-report=651 note-done=2959 note-idle=218 note-spills=384 note-waits-load=226 \
            note-waits-memory=230 note-works=240 refuse=2701 send=3923 share=65 streaming=181 \
            terms=3923 timer=3605 wake=3621",
        digest: "3fe211479b8cdabbdf4c24c641cba8d57eb3db23852d06dddbe55f4af9b0fa3d",
    },
    Expected {
        profile: "list_by_subscription",
        counts: "arrival=3746 avoided=1451 cancel=1008 client-left=830 end-cancelled=918 end-error=182 \
            end-full=163 end-not-sent=38 end-reset=150 end-served=1970 end-timed-out=111 \
            end-unreachable=52 fail=147 list-failure=16 list-patch=1217 list-stale=27 list-whole=34 \
            load-report=628 note-done=824 note-idle=78 note-spills=136 note-waits-load=67 \
            note-waits-memory=69 note-works=89 refuse=546 send=3795 share=75 streaming=180 \
            subscribe=29 terms=3795 timer=3605 wake=3621",
        digest: "8a883a11f7c01391a2ef13b96c000597959b3b58bbefab8ed360d16209fb88e3",
    },
    Expected {
        profile: "hedging_in_places",
        counts: "arrival=3730 avoided=1467 client-left=595 end-error=271 end-full=309 end-not-sent=24 \
            end-reset=164 end-served=2358 end-timed-out=140 end-unreachable=11 fail=190 \
            list-failure=16 list-patch=196 list-stale=21 list-whole=11 load-report=667 \
            note-done=1079 note-idle=127 note-spills=135 note-waits-load=89 note-waits-memory=84 \
            note-works=119 refuse=817 send=3448 share=71 streaming=167 timer=3600 wake=3616",
        digest: "cfbecc8f44b06ef7750a827f8880d0085ffff8fdbf77808311c02bd9a1d64087",
    },
    Expected {
        profile: "core_alone",
        counts: "answer-failed=152 answer-refused=904 answer-served=1348 answer-timed-out=346 \
            answering=790 drop=657 end-error=130 end-full=112 end-not-sent=23 end-reset=133 \
            end-served=1830 figures=579 leave=241 list-patch=153 list-stale=12 list-whole=55 \
            note-done=634 note-idle=35 note-spills=89 note-waits-load=65 note-waits-memory=53 \
            note-works=26 open=3013 share=76 start=2370 state=14848 tick=3330",
        digest: "560258296ad1199b84806524c8f5b82cc1edef34cdf54c0c3bf2575ed3cf4972",
    },
    Expected {
        profile: "core_with_few_open_requests",
        counts: "answer-failed=251 answer-refused=2792 answer-served=1234 answer-timed-out=221 \
            answering=818 drop=814 end-error=87 end-full=101 end-not-sent=19 end-reset=151 \
            end-served=1868 figures=589 leave=419 list-patch=153 list-stale=12 list-whole=58 \
            note-done=1815 note-idle=123 note-spills=241 note-waits-load=133 note-waits-memory=128 \
            note-works=106 open=4757 share=71 start=2356 state=19246 tick=3207",
        digest: "51dfdfa561cc1f4c1c6c18346c523f7731df8405f9317869219d6225011d7c10",
    },
    Expected {
        profile: "core_with_peers_and_operators",
        counts: "answer-failed=141 answer-refused=1561 answer-served=976 answer-timed-out=249 \
            answering=554 drop=433 end-error=89 end-full=87 end-not-sent=11 end-reset=100 \
            end-served=1290 figures=608 hold-out=185 leave=219 list-patch=151 list-stale=12 \
            list-whole=61 note-done=435 note-idle=24 note-spills=55 note-waits-load=32 \
            note-waits-memory=32 note-works=18 open=3058 peer-message=574 put-back=215 share=75 \
            start=1659 state=13044 tell=420 tick=3152",
        digest: "b0431e22017c922ab07172733e3a7e4a7e8a18b08fe13da39c449f6af2221ecd",
    },
    Expected {
        profile: "core_with_loads_that_stops",
        counts: "answer-failed=122 answer-refused=1763 answer-served=762 answer-timed-out=201 \
            answering=635 drop=916 end-error=90 end-full=100 end-not-sent=9 end-reset=111 \
            end-served=1504 figures=643 hold-out=199 leave=245 list-patch=146 list-stale=12 \
            list-whole=52 note-done=1880 note-idle=123 note-spills=258 note-waits-load=145 \
            note-waits-memory=160 note-works=122 open=2956 put-back=180 share=76 start=1852 \
            state=16033 stop=12 tick=2266",
        digest: "33cb5e878bf7a368aabd1e1afb799b11a8736af6a900c34c28f9c0f35549e6fd",
    },
    Expected {
        profile: "scenario calm",
        counts: "simulated-events=9232 simulated-attempts=1882",
        digest: "d7ec903d70b37253",
    },
    Expected {
        profile: "scenario rolling-restart",
        counts: "simulated-events=8305 simulated-attempts=1684",
        digest: "8ef286b861c12696",
    },
    Expected {
        profile: "scenario festival-night",
        counts: "simulated-events=17352 simulated-attempts=3929",
        digest: "9d586df28da75f95",
    },
];
