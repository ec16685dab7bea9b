package org.geraniumstand.http.opaque;

import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RefusalReason;

/** Told what becomes of calls, on the I/O thread; must not block. */
public interface CallObserver {
    /**
     * A call got a server's answer.
     *
     * @param kind what the call may do
     * @param millis time from its arrival to the end of the answer, in milliseconds
     */
    void answered(CallKind kind, long millis);

    /**
     * The first byte of an answer came.
     *
     * @param kind what the call may do
     * @param millis time from the call's arrival, in milliseconds
     */
    void started(CallKind kind, long millis);

    /**
     * A call was refused.
     *
     * @param reason why
     */
    void refused(RefusalReason reason);

    /** A caller left before its answer was whole. */
    void callerLeft();

    /**
     * An attempt at a server starts.
     *
     * @param cold whether the server is taken for cold
     */
    void attemptStarted(boolean cold);

    /**
     * An attempt at a server ended.
     *
     * @param end how
     */
    void attemptEnded(AttemptEnd end);
}
