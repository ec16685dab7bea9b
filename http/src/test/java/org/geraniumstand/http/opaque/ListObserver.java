package org.geraniumstand.http.opaque;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.geraniumstand.model.relay.CallKind;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.RefusalReason;

/** Keeps what it was told. */
final class ListObserver implements CallObserver {
    private final List<String> told = Collections.synchronizedList(new ArrayList<>());

    List<String> told() {
        return List.copyOf(told);
    }

    @Override
    public void answered(CallKind kind, long _millis) {
        told.add("answered " + kind);
    }

    @Override
    public void started(CallKind kind, long _millis) {
        told.add("started " + kind);
    }

    @Override
    public void refused(RefusalReason reason) {
        told.add("refused " + reason);
    }

    @Override
    public void callerLeft() {
        told.add("left");
    }

    @Override
    public void attemptStarted(boolean cold) {
        if (cold) {
            told.add("sent to a cold server");
        }
    }

    @Override
    public void attemptEnded(AttemptEnd end) {
        told.add("ended " + end);
    }
}
