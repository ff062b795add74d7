/* A version on its way to two routers through one relay, and their words back: the relay says one word for both, may start anew
 * with nothing kept, and answers and words are lost, late or out of order. A router may stand still for any time. Times
 * are what is left of them, all by one clock, so the stewards wait for no drift; clocks that differ are in tests/changes_model_test.cpp.
 *
 * Checked: a version is told to be in force only where no router whose lease holds acts on an earlier one; in order, and never
 * backward; no router's lease outlives what the stewards believe. Variants that have to be caught:
 *   LATE_COUNT   the relay counts its lease from when the answer came, not from when it made the word
 *   EARLY_GRANT  it grants to a router of which the stewards don't know yet
 *   KNOWN_ONLY   its lowest version leaves out those of which the stewards don't know yet
 *   OLD_WORDS    the stewards take a word that was overtaken
 *   NO_BOUND     they forget what the relay's life before granted
 */
#define LEASE 1
#ifndef WORDS
#define WORDS 3          /* of both lives together */
#endif
#define VERSIONS 2
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

/* The stewards. */
byte version, in_force, at_life, at_word, at_lowest, at_lease;
bool at_live, has[2];
byte bound[2], stated[2];

/* The relay. */
byte life = 1, words, knows, lease;
byte number, whole_since;
bool whole = true;
bool with[2], said[2], gone[2];  /* gone: lost, and not yet taken */
byte heard[2], granted[2], since[2], gone_since[2];

/* The routers. */
byte acts_on[2], holds[2];

/* life, number, whole, joined, lost, lowest, age */
chan word = [2] of { byte, byte, bool, byte, byte, byte, byte };
/* life, number (0: all is to be said), age, version */
chan answer = [1] of { byte, byte, byte, byte };

#define LESS(t) t = (t > 0 -> t - 1 : 0)
#define LIVES(i) ((has[i] && at_live) || bound[i] > 0)
#define ACTS(i) (has[i] && at_live -> MAX(stated[i], at_lowest) : stated[i])
#define BEHIND(i, v) (LIVES(i) && ACTS(i) < (v))
#define WITH_LOWEST(i) (with[i] && SAID(i))
#ifdef KNOWN_ONLY
#define SAID(i) said[i]
#else
#define SAID(i) true
#endif
#ifdef EARLY_GRANT
#define MAY_GRANT(i) true
#else
#define MAY_GRANT(i) said[i]
#endif

#ifdef OLD_WORDS
#define OVERTAKEN(l, n) (l < at_life)
#else
#define OVERTAKEN(l, n) (l < at_life || (l == at_life && n <= at_word))
#endif

inline believed(i) {
    assert(holds[i] == 0 || LIVES(i));
}

inline release(i) {
    if
    :: has[i] ->
        stated[i] = MAX(stated[i], at_lowest);
#ifndef NO_BOUND
        bound[i] = MAX(bound[i], at_lease);
#endif
        has[i] = false
    :: else
    fi
}

inline lose(i, l) {
    if
    :: (l & (1 << i)) && has[i] -> stated[i] = MAX(stated[i], at_lowest); has[i] = false
    :: else
    fi
}

proctype Stewards() {
    byte l, n, j, g, low, at;
    bool w;
    do
    :: atomic { nempty(word) && nfull(answer) ->
           word?l, n, w, j, g, low, at;
           if
           :: OVERTAKEN(l, n) -> skip
           :: !OVERTAKEN(l, n) && !w && (l > at_life || !at_live) -> answer!l, 0, 0, version
           :: else ->
               if
               :: w -> release(0); release(1)
               :: else
               fi;
               if
               :: l != at_life || !at_live -> at_lowest = 0
               :: else
               fi;
               at_life = l; at_word = n; at_live = true; at_lease = LEASE;
               lose(0, g); lose(1, g);
               at_lowest = low;
               if
               :: j & 1 -> has[0] = true
               :: else
               fi;
               if
               :: j & 2 -> has[1] = true
               :: else
               fi;
               answer!l, n, at, version
           fi;
           l = 0; n = 0; w = 0; j = 0; g = 0; low = 0; at = 0
       }
    :: atomic { version < VERSIONS -> version++ }
    :: atomic { in_force < version && !BEHIND(0, version) && !BEHIND(1, version) ->
           assert(holds[0] == 0 || acts_on[0] >= version);
           assert(holds[1] == 0 || acts_on[1] >= version);
           in_force = version
       }
    :: atomic { in_force + 1 < version && !BEHIND(0, in_force + 1) && !BEHIND(1, in_force + 1) ->
           assert(holds[0] == 0 || acts_on[0] > in_force);
           assert(holds[1] == 0 || acts_on[1] > in_force);
           in_force++
       }
    :: atomic { at_live && at_lease == 0 ->
           release(0); release(1);
           at_live = false; at_lowest = 0
       }
    od
}

/* A router's call and its answer, which it may hear or not, and act on or not yet. Answers carry the time until which they hold,
 * so one that is heard late is one that was heard at once and acted on late. */
inline hear(i) {
    heard[i] = MAX(heard[i], acts_on[i]);
    if
    :: !with[i] -> with[i] = true; said[i] = false; since[i] = 0; gone[i] = false; gone_since[i] = 0
    :: else
    fi;
    if
    :: MAY_GRANT(i) && lease > 0 ->
        granted[i] = MAX(granted[i], lease);
        if
        :: holds[i] = MAX(holds[i], lease); believed(i)
        :: true
        fi
    :: else
    fi;
    if
    :: acts_on[i] < knows -> acts_on[i] = knows
    :: true
    fi
}

inline first_in(i) {
    if
    :: with[i] && !said[i] && since[i] == 0 -> since[i] = number
    :: else
    fi;
    if
    :: gone[i] && gone_since[i] == 0 -> gone_since[i] = number
    :: else
    fi
}

inline take(i, n) {
    if
    :: with[i] && since[i] > 0 && n >= since[i] -> said[i] = true
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
    :: atomic { hear(0) }
    :: atomic { hear(1) }
    /* Not said by how long it was silent: any time, once what was granted is over. One of the two stands for both. */
    :: atomic { with[1] && said[1] && granted[1] == 0 ->
           with[1] = false; said[1] = false; since[1] = 0; heard[1] = 0; gone[1] = true; gone_since[1] = 0
       }
    :: atomic { nfull(word) && words < WORDS ->
           words++; number++;
           first_in(0); first_in(1);
           if
           :: whole && whole_since == 0 -> whole_since = number
           :: else
           fi;
           word!life, number, whole,
               (with[0] && !said[0] -> 1 : 0) + (with[1] && !said[1] -> 2 : 0),
               (gone[0] -> 1 : 0) + (gone[1] -> 2 : 0),
               MIN((WITH_LOWEST(0) -> heard[0] : VERSIONS), (WITH_LOWEST(1) -> heard[1] : VERSIONS)),
               0
       }
    :: atomic { answer?l, n, at, v ->
           if
           :: l != life
           :: l == life && n == 0 ->
               whole = true; whole_since = 0;
               said[0] = false; said[1] = false; since[0] = 0; since[1] = 0;
               gone[0] = false; gone[1] = false; gone_since[0] = 0; gone_since[1] = 0
           :: l == life && n > 0 ->
#ifdef LATE_COUNT
               at = 0;
#endif
               lease = MAX(lease, LEASE - at);
               knows = MAX(knows, v);
               if
               :: whole_since > 0 && n >= whole_since -> whole = false; whole_since = 0
               :: else
               fi;
               take(0, n); take(1, n)
           fi;
           l = 0; n = 0; at = 0; v = 0
       }
    :: atomic { life == 1 ->
           life = 2; number = 0; knows = 0; lease = 0; whole = true; whole_since = 0;
           with[0] = false; with[1] = false; said[0] = false; said[1] = false; gone[0] = false; gone[1] = false;
           heard[0] = 0; heard[1] = 0; granted[0] = 0; granted[1] = 0; since[0] = 0; since[1] = 0;
           gone_since[0] = 0; gone_since[1] = 0
       }
    od
}

proctype Net() {
    byte l, n, j, g, low, at, k;
    bool w;
    do
    :: atomic { nempty(word) -> word?_, _, _, _, _, _, _ }
    :: atomic { nempty(answer) -> answer?_, _, _, _ }
    :: atomic { len(word) == 2 ->
           word?l, n, w, j, g, low, at; word!l, n, w, j, g, low, at;
           l = 0; n = 0; w = 0; j = 0; g = 0; low = 0; at = 0
       }
    :: atomic {
           for (k : 1 .. len(word)) { word?l, n, w, j, g, low, at; word!l, n, w, j, g, low, MIN(at + 1, LEASE) }
           if
           :: nempty(answer) -> answer?l, n, at, low; answer!l, n, MIN(at + 1, LEASE), low
           :: empty(answer)
           fi;
           LESS(at_lease); LESS(lease);
           LESS(bound[0]); LESS(bound[1]); LESS(granted[0]); LESS(granted[1]); LESS(holds[0]); LESS(holds[1]);
           k = 0; l = 0; n = 0; w = 0; j = 0; g = 0; low = 0; at = 0
       }
    od
}

init {
    atomic { run Stewards(); run Relay(); run Net() }
}
