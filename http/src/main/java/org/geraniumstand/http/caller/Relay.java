package org.geraniumstand.http.caller;

import java.nio.ByteBuffer;
import org.geraniumstand.http.upstream.AttemptListener.AnswerHead;
import org.geraniumstand.platform.net.HttpBody;

/** Passes the answer of one or more attempts on to the caller as one. */
interface Relay {
    /** Returns the body for the next attempt, given the caller's own. */
    HttpBody bodyFor(HttpBody original);

    /** Takes the head of an attempt's answer. */
    void onHead(AnswerHead head);

    /** Takes a part of an attempt's answer. */
    void onBytes(ByteBuffer bytes);

    /** Returns whether the answer is whole. */
    boolean whole();

    /** Returns the tokens relayed so far. */
    int tokens();

    /** Sends what is left and ends the exchange. */
    void finish();
}
