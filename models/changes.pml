/* Model of the rollout of a version to two routers through one relay, and of their reports back. The relay aggregates both routers
 * into one report and may restart with nothing kept. Responses and reports may be lost, delayed or reordered, and a router may pause
 * for any time. All times are remaining times by one clock, so the fleet managers wait for no drift; clocks that differ are tested
 * in tests/changes_model_test.cpp.
 *
 * Checked: a version counts as applied everywhere only if no router with a valid lease acts on an earlier one; versions are applied
 * in order and never go back; no router's lease outlives what the fleet managers assume. These faulty variants have to be caught:
 *   LEASE_FROM_RESPONSE  the relay's lease counts from when the response arrived, not from when the report was created
 *   EARLY_GRANT          the relay grants a lease to a router that the fleet managers don't know yet
 *   KNOWN_MEMBERS_ONLY   the relay's lowest version leaves out routers that the fleet managers don't know yet
 *   STALE_REPORTS        the fleet managers apply a report that was overtaken by a later one
 *   FORGET_OLD_LEASES    the fleet managers forget the leases that the relay's previous incarnation granted
 */
#define LEASE 1
#ifndef MAX_REPORTS
#define MAX_REPORTS 3          /* reports of both incarnations together */
#endif
#define VERSIONS 2
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

/* The fleet managers. */
byte version, applied_everywhere, known_incarnation, known_number, known_lowest, relay_lease;
bool relay_live, attached[2];
byte lease_bound[2], reported_version[2];

/* The relay. */
byte incarnation = 1, sent_reports, known_version, lease;
byte number, full_since;
bool full_report = true;
bool member[2], acknowledged[2], gone[2];  /* gone: lost, and not yet acknowledged */
byte member_version[2], granted[2], since[2], gone_since[2];

/* The routers. */
byte applied_version[2], held_lease[2];

/* incarnation, number, full, joined, lost, lowest, age */
chan report = [2] of { byte, byte, bool, byte, byte, byte, byte };
/* incarnation, number (0: a full report is needed), age, version */
chan response = [1] of { byte, byte, byte, byte };

#define LESS(t) t = (t > 0 -> t - 1 : 0)
#define IS_LIVE(i) ((attached[i] && relay_live) || lease_bound[i] > 0)
#define APPLIED(i) (attached[i] && relay_live -> MAX(reported_version[i], known_lowest) : reported_version[i])
#define BEHIND(i, v) (IS_LIVE(i) && APPLIED(i) < (v))
#define COUNTS_FOR_LOWEST(i) (member[i] && COUNTED(i))
#ifdef KNOWN_MEMBERS_ONLY
#define COUNTED(i) acknowledged[i]
#else
#define COUNTED(i) true
#endif
#ifdef EARLY_GRANT
#define MAY_GRANT(i) true
#else
#define MAY_GRANT(i) acknowledged[i]
#endif

#ifdef STALE_REPORTS
#define IS_OVERTAKEN(l, n) (l < known_incarnation)
#else
#define IS_OVERTAKEN(l, n) (l < known_incarnation || (l == known_incarnation && n <= known_number))
#endif

inline check_lease(i) {
    assert(held_lease[i] == 0 || IS_LIVE(i));
}

inline release(i) {
    if
    :: attached[i] ->
        reported_version[i] = MAX(reported_version[i], known_lowest);
#ifndef FORGET_OLD_LEASES
        lease_bound[i] = MAX(lease_bound[i], relay_lease);
#endif
        attached[i] = false
    :: else
    fi
}

inline lose(i, l) {
    if
    :: (l & (1 << i)) && attached[i] -> reported_version[i] = MAX(reported_version[i], known_lowest); attached[i] = false
    :: else
    fi
}

proctype Managers() {
    byte l, n, j, g, low, at;
    bool w;
    do
    :: atomic { nempty(report) && nfull(response) ->
           report?l, n, w, j, g, low, at;
           if
           :: IS_OVERTAKEN(l, n) -> skip
           :: !IS_OVERTAKEN(l, n) && !w && (l > known_incarnation || !relay_live) -> response!l, 0, 0, version
           :: else ->
               if
               :: w -> release(0); release(1)
               :: else
               fi;
               if
               :: l != known_incarnation || !relay_live -> known_lowest = 0
               :: else
               fi;
               known_incarnation = l; known_number = n; relay_live = true; relay_lease = LEASE;
               lose(0, g); lose(1, g);
               known_lowest = low;
               if
               :: j & 1 -> attached[0] = true
               :: else
               fi;
               if
               :: j & 2 -> attached[1] = true
               :: else
               fi;
               response!l, n, at, version
           fi;
           l = 0; n = 0; w = 0; j = 0; g = 0; low = 0; at = 0
       }
    :: atomic { version < VERSIONS -> version++ }
    :: atomic { applied_everywhere < version && !BEHIND(0, version) && !BEHIND(1, version) ->
           assert(held_lease[0] == 0 || applied_version[0] >= version);
           assert(held_lease[1] == 0 || applied_version[1] >= version);
           applied_everywhere = version
       }
    :: atomic { applied_everywhere + 1 < version && !BEHIND(0, applied_everywhere + 1) && !BEHIND(1, applied_everywhere + 1) ->
           assert(held_lease[0] == 0 || applied_version[0] > applied_everywhere);
           assert(held_lease[1] == 0 || applied_version[1] > applied_everywhere);
           applied_everywhere++
       }
    :: atomic { relay_live && relay_lease == 0 ->
           release(0); release(1);
           relay_live = false; known_lowest = 0
       }
    od
}

/* A router's report and the response to it. The router may receive the response or not, and apply it at once or later. A response
 * carries the time until which it is valid, so receiving it late is the same as receiving it at once and applying it late. */
inline receive_response(i) {
    member_version[i] = MAX(member_version[i], applied_version[i]);
    if
    :: !member[i] -> member[i] = true; acknowledged[i] = false; since[i] = 0; gone[i] = false; gone_since[i] = 0
    :: else
    fi;
    if
    :: MAY_GRANT(i) && lease > 0 ->
        granted[i] = MAX(granted[i], lease);
        if
        :: held_lease[i] = MAX(held_lease[i], lease); check_lease(i)
        :: true
        fi
    :: else
    fi;
    if
    :: applied_version[i] < known_version -> applied_version[i] = known_version
    :: true
    fi
}

inline mark_reported(i) {
    if
    :: member[i] && !acknowledged[i] && since[i] == 0 -> since[i] = number
    :: else
    fi;
    if
    :: gone[i] && gone_since[i] == 0 -> gone_since[i] = number
    :: else
    fi
}

inline acknowledge(i, n) {
    if
    :: member[i] && since[i] > 0 && n >= since[i] -> acknowledged[i] = true
    :: else
    fi;
    if
    :: gone[i] && gone_since[i] > 0 && n >= gone_since[i] -> gone[i] = false; gone_since[i] = 0
    :: else
    fi
}

proctype Relay() {
    byte l, n, at, v;
    do
    :: atomic { receive_response(0) }
    :: atomic { receive_response(1) }
    /* A router may count as lost at any time after its granted lease has ended. Modelling this for one of the two is enough. */
    :: atomic { member[1] && acknowledged[1] && granted[1] == 0 ->
           member[1] = false; acknowledged[1] = false; since[1] = 0; member_version[1] = 0; gone[1] = true; gone_since[1] = 0
       }
    :: atomic { nfull(report) && sent_reports < MAX_REPORTS ->
           sent_reports++; number++;
           mark_reported(0); mark_reported(1);
           if
           :: full_report && full_since == 0 -> full_since = number
           :: else
           fi;
           report!incarnation, number, full_report,
               (member[0] && !acknowledged[0] -> 1 : 0) + (member[1] && !acknowledged[1] -> 2 : 0),
               (gone[0] -> 1 : 0) + (gone[1] -> 2 : 0),
               MIN((COUNTS_FOR_LOWEST(0) -> member_version[0] : VERSIONS), (COUNTS_FOR_LOWEST(1) -> member_version[1] : VERSIONS)),
               0
       }
    :: atomic { response?l, n, at, v ->
           if
           :: l != incarnation
           :: l == incarnation && n == 0 ->
               full_report = true; full_since = 0;
               acknowledged[0] = false; acknowledged[1] = false; since[0] = 0; since[1] = 0;
               gone[0] = false; gone[1] = false; gone_since[0] = 0; gone_since[1] = 0
           :: l == incarnation && n > 0 ->
#ifdef LEASE_FROM_RESPONSE
               at = 0;
#endif
               lease = MAX(lease, LEASE - at);
               known_version = MAX(known_version, v);
               if
               :: full_since > 0 && n >= full_since -> full_report = false; full_since = 0
               :: else
               fi;
               acknowledge(0, n); acknowledge(1, n)
           fi;
           l = 0; n = 0; at = 0; v = 0
       }
    :: atomic { incarnation == 1 ->
           incarnation = 2; number = 0; known_version = 0; lease = 0; full_report = true; full_since = 0;
           member[0] = false; member[1] = false; acknowledged[0] = false; acknowledged[1] = false; gone[0] = false; gone[1] = false;
           member_version[0] = 0; member_version[1] = 0; granted[0] = 0; granted[1] = 0; since[0] = 0; since[1] = 0;
           gone_since[0] = 0; gone_since[1] = 0
       }
    od
}

proctype Network() {
    byte l, n, j, g, low, at, k;
    bool w;
    do
    :: atomic { nempty(report) -> report?_, _, _, _, _, _, _ }
    :: atomic { nempty(response) -> response?_, _, _, _ }
    :: atomic { len(report) == 2 ->
           report?l, n, w, j, g, low, at; report!l, n, w, j, g, low, at;
           l = 0; n = 0; w = 0; j = 0; g = 0; low = 0; at = 0
       }
    :: atomic {
           for (k : 1 .. len(report)) { report?l, n, w, j, g, low, at; report!l, n, w, j, g, low, MIN(at + 1, LEASE) }
           if
           :: nempty(response) -> response?l, n, at, low; response!l, n, MIN(at + 1, LEASE), low
           :: empty(response)
           fi;
           LESS(relay_lease); LESS(lease);
           LESS(lease_bound[0]); LESS(lease_bound[1]); LESS(granted[0]); LESS(granted[1]); LESS(held_lease[0]); LESS(held_lease[1]);
           k = 0; l = 0; n = 0; w = 0; j = 0; g = 0; low = 0; at = 0
       }
    od
}

init {
    atomic { run Managers(); run Relay(); run Network() }
}
