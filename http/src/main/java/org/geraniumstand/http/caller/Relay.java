package org.geraniumstand.http.caller;

import java.nio.ByteBuffer;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.Flow;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.support.net.HttpBody;

/** Passes the answer of one or more attempts on to the caller as one; belongs to one I/O thread. */
interface Relay {
    /** Forgets what an earlier attempt left half done and returns the body for the next one. */
    HttpBody bodyFor(HttpBody original);

    /** Takes the attempt that brings the bytes from now on. */
    void hold(Flow flow);

    /** Takes the head of an attempt's answer. */
    void onHead(AnswerHead head);

    /** Takes a part of an attempt's answer. */
    void onBytes(ByteBuffer bytes);

    /** Returns how an attempt really ended, given what it brought. */
    AttemptEnd judge(AttemptEnd end);

    /** Returns whether the answer lacks nothing but its end. */
    boolean nothingLeft();

    /** Returns whether a part of the answer is out that no other attempt can replace. */
    boolean committed();

    /** Returns the tokens relayed so far. */
    int tokens();

    /** Returns the prompt tokens that the engine reported as cached, or -1 without a report. */
    int cachedTokens();

    /** Sends what is left and ends the exchange. */
    void finish();

    /** Ends the exchange with the backend server's own error if there is one, else with the refusal. */
    void refuse(Refusal refusal);

    /** Takes note that the caller left; nothing more is sent. */
    void onCallerLeft();
}
