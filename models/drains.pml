/* Model of a drain of one data node: grant, acknowledgement, lease and return. Reports may be lost, delayed or reordered,
 * and routers may pause for any time. The fleet managers never lose committed state.
 *
 * Checked: a drain is never "done" while a router may still send to the node, nor while a live router has requests in flight
 * there. These faulty variants have to be caught:
 *   NO_FENCE             a report of an earlier drain counts for a later one
 *   WALL_CLOCK           routers check their lease by a clock that may be set back
 *   STALE_REPORTS        an older report replaces a newer one, except for its generation
 *   LEASE_FROM_RESPONSE  a router's lease counts from when the response arrived, not from when the request was sent
 */
#define R 1            /* each router is waited for separately, so one is enough */
#define LEASE 1
#define DRIFT 1
#define GENERATIONS 3
#define END 4

byte now;
byte generation, out_since;      /* the committed state; out_since: the generation of the drain */
bool out, done;
byte acked_generation[R], granted_lease[R];
bool reported_in_flight[R];

byte applied_generation[R], lease[R];       /* the state of each router */
bool sees_out[R], in_flight[R];
#ifdef WALL_CLOCK
byte set_back[R];                /* how far its clock was set back */
#define CLOCK(i) (now - set_back[i])
#else
#define CLOCK(i) now
#endif

chan report[R] = [2] of { byte, byte, bool };    /* applied generation, sent at, requests in flight */
chan response[R] = [2] of { byte, bool, byte };    /* generation, out, time at which the report was sent */

proctype Router(byte i) {
    byte g, s;
    bool o, h;
    do
    :: atomic { nfull(report[i]) && now < END -> report[i]!applied_generation[i], CLOCK(i), in_flight[i] && sees_out[i] }
    :: atomic { response[i]?g, o, s ->
#ifdef LEASE_FROM_RESPONSE
           s = CLOCK(i);
#endif
           if
           :: s + LEASE > lease[i] -> lease[i] = s + LEASE
           :: else
           fi;
           if
           :: g > applied_generation[i] -> applied_generation[i] = g; sees_out[i] = o
           :: else
           fi
       }
       /* Checking the clock and sending the request is one atomic step. */
    :: atomic { !sees_out[i] && !in_flight[i] && CLOCK(i) < lease[i] -> assert(!done); in_flight[i] = true }
    :: atomic { in_flight[i] -> in_flight[i] = false }
    :: atomic { nempty(report[i]) -> report[i]?g, s, h }                         /* message lost */
    :: atomic { nempty(response[i]) -> response[i]?g, o, s }
    :: atomic { len(report[i]) == 2 -> report[i]?g, s, h; report[i]!g, s, h }      /* reports reordered */
#ifdef WALL_CLOCK
    :: atomic { set_back[i] == 0 && now >= 3 -> set_back[i] = 3 }
#endif
    od
}

#define HOLDS_UP(i) (now <= granted_lease[i] && (acked_generation[i] < out_since || reported_in_flight[i]))

proctype Managers() {
    byte i, g, s;
    bool h;
    do
    :: atomic { nempty(report[0]) && nfull(response[0]) ->
           report[i]?g, s, h;
           granted_lease[i] = now + LEASE + DRIFT;
           if
#ifdef STALE_REPORTS
           :: g >= acked_generation[i] -> acked_generation[i] = g; reported_in_flight[i] = h
           :: else -> reported_in_flight[i] = h
#else
           :: g >= acked_generation[i] -> acked_generation[i] = g; reported_in_flight[i] = h
           :: else
#endif
           fi;
           response[i]!generation, out, s;
           g = 0; s = 0; h = false
       }
    :: atomic { !out && generation < GENERATIONS ->
           generation++; out = true; out_since = generation;
#ifdef NO_FENCE
           out_since = 1
#endif
       }
    :: atomic { out && !done && !HOLDS_UP(0) ->
           assert(!in_flight[0] || now > granted_lease[0]);
           done = true
       }
    :: atomic { out && generation < GENERATIONS -> generation++; out = false; done = false }
    od
}

proctype Time() {
    do
    :: atomic { now < END -> now++ }
    od
}

init {
    atomic {
        lease[0] = LEASE;
        granted_lease[0] = LEASE + DRIFT;
        run Time(); run Managers(); run Router(0)
    }
}
