/* A drain of one data node by agreement: grant, acknowledgement, lease, and the way back, with words that are
 * lost, late or out of order, routers that pause for any time, and stewards that lose none of what they agreed on.
 *
 * Checked: never "done" while a router may still send to the node, nor while one that lives has work there. Variants that have to be caught:
 *   NO_FENCE    a word of an earlier drain counts for a later one
 *   WALL_CLOCK  routers judge their lease by a clock that may be set back
 *   OLD_WORDS   an older word replaces a newer one but for its generation
 *   LATE_COUNT  a router counts its lease from when the answer came, not from when it asked
 */
#define R 1            /* each is waited for by itself, so one stands for all */
#define LEASE 1
#define DRIFT 1
#define GENERATIONS 3
#define END 4

byte now;
byte generation, out_since;      /* what is agreed; out_since: the generation of the drain */
bool out, done;
byte acked[R], lease_at_stewards[R];
bool hand_told[R];

byte acts_on[R], lease[R];       /* what each router goes by */
bool sees_out[R], in_hand[R];
#ifdef WALL_CLOCK
byte back[R];                    /* by so much its clock was set back */
#define CLOCK(i) (now - back[i])
#else
#define CLOCK(i) now
#endif

chan word[R] = [2] of { byte, byte, bool };    /* acts on, sent at, something in hand */
chan told[R] = [2] of { byte, bool, byte };    /* generation, out, the word's time */

proctype Router(byte i) {
    byte g, s;
    bool o, h;
    do
    :: atomic { nfull(word[i]) && now < END -> word[i]!acts_on[i], CLOCK(i), in_hand[i] && sees_out[i] }
    :: atomic { told[i]?g, o, s ->
#ifdef LATE_COUNT
           s = CLOCK(i);
#endif
           if
           :: s + LEASE > lease[i] -> lease[i] = s + LEASE
           :: else
           fi;
           if
           :: g > acts_on[i] -> acts_on[i] = g; sees_out[i] = o
           :: else
           fi
       }
       /* The clock is looked at, then the leaf call is written, in one step. */
    :: atomic { !sees_out[i] && !in_hand[i] && CLOCK(i) < lease[i] -> assert(!done); in_hand[i] = true }
    :: atomic { in_hand[i] -> in_hand[i] = false }
    :: atomic { nempty(word[i]) -> word[i]?g, s, h }                         /* lost */
    :: atomic { nempty(told[i]) -> told[i]?g, o, s }
    :: atomic { len(word[i]) == 2 -> word[i]?g, s, h; word[i]!g, s, h }      /* overtaken */
#ifdef WALL_CLOCK
    :: atomic { back[i] == 0 && now >= 3 -> back[i] = 3 }
#endif
    od
}

#define HOLDS_UP(i) (now <= lease_at_stewards[i] && (acked[i] < out_since || hand_told[i]))

proctype Stewards() {
    byte i, g, s;
    bool h;
    do
    :: atomic { nempty(word[0]) && nfull(told[0]) ->
           word[i]?g, s, h;
           lease_at_stewards[i] = now + LEASE + DRIFT;
           if
#ifdef OLD_WORDS
           :: g >= acked[i] -> acked[i] = g; hand_told[i] = h
           :: else -> hand_told[i] = h
#else
           :: g >= acked[i] -> acked[i] = g; hand_told[i] = h
           :: else
#endif
           fi;
           told[i]!generation, out, s;
           g = 0; s = 0; h = false
       }
    :: atomic { !out && generation < GENERATIONS ->
           generation++; out = true; out_since = generation;
#ifdef NO_FENCE
           out_since = 1
#endif
       }
    :: atomic { out && !done && !HOLDS_UP(0) ->
           assert(!in_hand[0] || now > lease_at_stewards[0]);
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
        lease_at_stewards[0] = LEASE + DRIFT;
        run Time(); run Stewards(); run Router(0)
    }
}
