/* MUTATIONS: SKIP_PERMIT FORGET_VOID RESTART_KEEPS_RUN START_TWICE REFUSED_MAY_RUN
 * BOUNDS: one ticket, one issuer, one witness, two requests, two voids, one restart of each
 *   process, two messages of a kind in flight, each lost, delivered, or delivered and kept
 *   (duplicated).
 *
 * Models a call that must run at most once. The issuer of its ticket asks the witness for a permit
 * before it dispatches the call. When the issuer is not reachable, any instance may ask the witness
 * to void the ticket. Messages are unordered: for each kind, a counter holds the number in flight.
 * A pause of a process is a schedule in which it takes no step, so pauses of any length are
 * covered.
 * Checked: the call is executed at most once, and never after "not run" was reported.
 */

#define MAX_IN_FLIGHT 2

mtype = { Issued, Awaiting, Dispatched, Refused };
mtype = { Fresh, Permitted, Voided, Forgotten };

mtype issuer = Issued;
mtype witness = Fresh;
bool issuerAlive = true;       /* a restarted issuer is another run; it never dispatches this */
bool witnessSameRun = true;    /* a restarted witness is another run and answers 'unknown' */
byte requests = 2;
byte voids = 2;
byte asks = 0;                 /* permit requests in flight */
byte grants = 0;               /* permits in flight */
byte refusals = 0;             /* refusals in flight */
byte voidAsks = 0;             /* void requests in flight */
byte executions = 0;
bool saidNotRun = false;

#define CHECK assert(executions <= 1 && !(executions == 1 && saidNotRun))

inline execute() {
  executions++;
  CHECK
}

inline sayNotRun() {
  saidNotRun = true;
  CHECK
}

/* A delivered message may stay in flight, which models a duplicate. */
inline take(counter) {
  if
  :: counter--
  :: skip
  fi
}

inline answerAsk() {
  if
#ifdef RESTART_KEEPS_RUN
  :: witness == Fresh ->
#else
  :: witnessSameRun && witness == Fresh ->
#endif
     witness = Permitted;
     if
     :: grants < MAX_IN_FLIGHT -> grants++
     :: else
     fi
  :: else ->
     if
     :: refusals < MAX_IN_FLIGHT -> refusals++
     :: else
     fi
  fi
}

inline answerVoid() {
  if
#ifdef RESTART_KEEPS_RUN
  :: witness == Fresh -> witness = Voided; sayNotRun()
#else
  :: witnessSameRun && witness == Fresh -> witness = Voided; sayNotRun()
#endif
  :: witnessSameRun && witness == Voided -> sayNotRun()
  :: else /* permitted, evicted or unknown: "may have run" */
  fi
}

active proctype Issuer() {
  do
  :: atomic { issuerAlive && requests > 0 ->
       requests--;
       if
       :: issuer == Issued ->
#ifdef SKIP_PERMIT
          issuer = Dispatched;
          execute()
#else
          issuer = Awaiting;
          if
          :: asks < MAX_IN_FLIGHT -> asks++
          :: else
          fi
#endif
#ifdef START_TWICE
       :: issuer == Dispatched -> execute()
#endif
       :: issuer == Refused -> sayNotRun()
       :: else /* joins the running call or gets its response */
       fi
     }
  :: atomic { issuerAlive && grants > 0 ->
       take(grants);
       if
       :: issuer == Awaiting -> issuer = Dispatched; execute()
#ifdef REFUSED_MAY_RUN
       :: issuer == Refused -> issuer = Dispatched; execute()
#endif
       :: else
       fi
     }
  :: atomic { issuerAlive && refusals > 0 ->
       take(refusals);
       if
       :: issuer == Awaiting -> issuer = Refused; sayNotRun()
       :: else
       fi
     }
  /* The answer is lost, or arrives after the validity of the permit. */
  :: atomic { issuerAlive && issuer == Awaiting -> issuer = Refused; sayNotRun() }
  :: atomic { issuerAlive -> issuerAlive = false }
  :: timeout -> break
  od
}

active proctype Witness() {
  do
  :: atomic { asks > 0 -> take(asks); answerAsk() }
  :: atomic { voidAsks > 0 -> take(voidAsks); answerVoid() }
  /* Evicts the record of the ticket, but remembers that it did. */
  :: atomic { witness == Permitted || witness == Voided ->
#ifdef FORGET_VOID
       witness = Fresh
#else
       witness = Forgotten
#endif
     }
  :: atomic { witnessSameRun -> witnessSameRun = false; witness = Fresh }
  :: timeout -> break
  od
}

active proctype OtherInstance() {
  do
  :: atomic { voids > 0 && voidAsks < MAX_IN_FLIGHT -> voids--; voidAsks++ }
  :: timeout -> break
  od
}

active proctype Network() {
  do
  :: atomic { asks > 0 -> asks-- }
  :: atomic { grants > 0 -> grants-- }
  :: atomic { refusals > 0 -> refusals-- }
  :: atomic { voidAsks > 0 -> voidAsks-- }
  :: timeout -> break
  od
}
