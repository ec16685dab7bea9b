package org.geraniumstand.http.caller;

import org.geraniumstand.http.upstream.FlowControl;
import org.geraniumstand.model.request.Refusal;

/** Receives the events of a stream; confined to one I/O thread. */
interface EventSink {
    /** Applies backpressure to this attempt from now on. */
    void setUpstream(FlowControl flow);

    /** Writes an event. */
    void event(int id, String data);

    /** Ends the complete stream. */
    void end();

    /** Ends the stream with a refusal, or closes the connection if events were already sent. */
    void refuse(Refusal refusal);

    /** Sends the queued events and closes the connection, because another process continues the stream. */
    void endForHandover();

    /** Stops writing because the caller disconnected. */
    void onCallerDisconnected();
}
