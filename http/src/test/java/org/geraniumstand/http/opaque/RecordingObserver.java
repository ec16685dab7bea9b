package org.geraniumstand.http.opaque;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RefusalReason;

/** Records the events of relayed calls as text. */
final class RecordingObserver implements CallObserver {
    private final List<String> events = Collections.synchronizedList(new ArrayList<>());

    List<String> events() {
        return List.copyOf(events);
    }

    @Override
    public void answered(CallKind kind, long _millis) {
        events.add("answered " + kind);
    }

    @Override
    public void answerStarted(CallKind kind, long _millis) {
        events.add("started " + kind);
    }

    @Override
    public void refused(RefusalReason reason) {
        events.add("refused " + reason);
    }

    @Override
    public void callerDisconnected() {
        events.add("left");
    }

    @Override
    public void attemptStarted(boolean cold) {
        if (cold) {
            events.add("sent to a cold server");
        }
    }

    @Override
    public void attemptEnded(AttemptEnd end) {
        events.add("ended " + end);
    }
}
