package org.geraniumstand.http.caller;

import org.geraniumstand.http.upstream.Flow;
import org.geraniumstand.model.request.Refusal;

/** Takes the events of a stream; belongs to one I/O thread. */
interface EventSink {
    /** Holds this attempt back from now on while the events are not taken fast enough. */
    void hold(Flow flow);

    /** Takes an event. */
    void event(int id, String data);

    /** Ends the stream; it is whole. */
    void end();

    /** Ends the stream with a refusal, or cuts it if events are out. */
    void refuse(Refusal refusal);

    /** Lets the caller have what is out and then cuts the connection, as another process goes on with the stream. */
    void moveAway();

    /** Takes note that the caller left. */
    void onCallerLeft();
}
