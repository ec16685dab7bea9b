package org.geraniumstand.http.opaque;

import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RefusalReason;

/** Receives the events of relayed calls on the I/O thread; implementations must not block. */
public interface CallObserver {
    /**
     * Called when a server's answer to a call is complete.
     *
     * @param kind the kind of the call's route
     * @param millis time from the call's arrival to the end of the answer, in milliseconds
     */
    void answered(CallKind kind, long millis);

    /**
     * Called when the first bytes of a server's answer have arrived.
     *
     * @param kind the kind of the call's route
     * @param millis time from the call's arrival to the start of the answer, in milliseconds
     */
    void answerStarted(CallKind kind, long millis);

    /**
     * Called when a call is refused.
     *
     * @param reason the reason of the refusal
     */
    void refused(RefusalReason reason);

    /** Called when a caller disconnects before its answer is complete. */
    void callerDisconnected();

    /**
     * Called when an attempt at a server starts.
     *
     * @param cold whether the server is assumed to be cold
     */
    void attemptStarted(boolean cold);

    /**
     * Called when an attempt at a server has ended.
     *
     * @param end the way in which the attempt ended
     */
    void attemptEnded(AttemptEnd end);
}
