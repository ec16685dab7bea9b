package org.geraniumstand.http.caller;

import java.nio.ByteBuffer;
import org.geraniumstand.http.upstream.AnswerHead;
import org.geraniumstand.http.upstream.FlowControl;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.support.net.HttpBody;

/** Relays the answers of one or more attempts to the caller as a single answer; confined to one I/O thread. */
interface Relay {
    /** Discards the incomplete answer of an earlier attempt and returns the request body for the next attempt. */
    HttpBody bodyFor(HttpBody original);

    /** Applies backpressure to this attempt from now on. */
    void setUpstream(FlowControl flow);

    /** Processes the status and headers of an attempt's answer. */
    void onHead(AnswerHead head);

    /** Processes a part of the body of an attempt's answer. */
    void onBytes(ByteBuffer bytes);

    /** Returns whether the attempt's answer sent too many bytes that are no answer, and must be aborted. */
    default boolean tooLarge() {
        return false;
    }

    /** Returns the way in which an attempt ended, corrected by the content of its answer. */
    AttemptEnd classify(AttemptEnd end);

    /** Returns whether all content of the answer was relayed and only its end is missing. */
    boolean contentComplete();

    /** Returns whether part of the answer was sent to the caller and cannot be replaced by another attempt. */
    boolean committed();

    /** Returns the number of tokens relayed so far. */
    int tokens();

    /** Returns the number of prompt tokens that the engine reported as cached, or -1 without a report. */
    int cachedTokens();

    /** Sends the rest of the answer and ends the exchange. */
    void finish();

    /** Ends the exchange with the backend server's error answer if there is one, otherwise with the refusal. */
    void refuse(Refusal refusal);

    /** Stops sending because the caller disconnected. */
    void onCallerDisconnected();
}
