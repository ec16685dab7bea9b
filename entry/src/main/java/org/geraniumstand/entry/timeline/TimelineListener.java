package org.geraniumstand.entry.timeline;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.entry.core.CoreListener;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Records the core's observations and actions on the timeline. */
public final class TimelineListener implements CoreListener {
    /** Name of the field with a process's own request ID. */
    public static final String REQUEST = "request";

    /** Name of the field with the caller's request ID. */
    public static final String CALLER_REQUEST = "callerRequest";

    private static final String FIRST_ATTEMPT = "The request is sent to the selected backend server.";
    private static final String LATER_ATTEMPT =
            "The previous attempt returned no complete response, so the request is retried.";

    private final Timeline timeline;
    private Set<String> members = Set.of();
    /**
     * A refusal that is not recorded yet; a RecordEvent action with the reason replaces it if it follows immediately.
     */
    private Optional<Action.Refuse> pendingRefusal = Optional.empty();

    /**
     * Creates a listener.
     *
     * @param timeline records the events
     */
    public TimelineListener(Timeline timeline) {
        this.timeline = timeline;
    }

    @Override
    public void onRequestArrived(RequestInfo request, String callerRequestId) {
        flushPendingRefusal();
        // Copies the identifiers only: the request info holds the prompt's prefix blocks, which may be many.
        RequestId id = request.id();
        TeamId team = request.team();
        ServiceId service = request.service();
        RouteId route = request.route();
        timeline.recordRequestEvent(
                EventKind.REQUEST_ARRIVED,
                "",
                () -> List.of(
                        Field.of(REQUEST, id),
                        Field.of(CALLER_REQUEST, callerRequestId),
                        Field.of("team", team),
                        Field.of("service", service),
                        Field.of("route", route)));
    }

    @Override
    public void onObservation(Observation observation) {
        flushPendingRefusal();
        if (observation instanceof Observation.MembersUpdated update) {
            recordMembers(update);
        }
        if (observation instanceof Observation.AttemptEnded ended) {
            AttemptResult report = ended.report();
            EventKind kind = report.end() == AttemptEnd.ANSWERED ? EventKind.REQUEST_ANSWERED : EventKind.ATTEMPT_ENDED;
            timeline.recordRequestEvent(
                    kind,
                    "",
                    () -> List.of(
                            Field.of(REQUEST, ended.request()),
                            Field.of("attempt", ended.attempt()),
                            Field.of("end", report.end()),
                            Field.of("firstByteMillis", report.firstByteMillis()),
                            Field.of("totalMillis", report.totalMillis()),
                            Field.of("tokens", report.tokens())));
        }
    }

    @Override
    public void onAction(Action action) {
        if (action instanceof Action.RecordEvent event && event.kind() == EventKind.REQUEST_REFUSED) {
            pendingRefusal = Optional.empty();
            timeline.recordRequestEvent(event.kind(), event.reason(), event::fields);
            return;
        }
        flushPendingRefusal();
        if (action instanceof Action.RecordEvent event) {
            recordEvent(event);
        } else if (action instanceof Action.Dispatch dispatch) {
            recordDispatch(dispatch);
        } else if (action instanceof Action.Refuse refuse) {
            pendingRefusal = Optional.of(refuse);
        }
    }

    private void recordEvent(Action.RecordEvent event) {
        if (event.kind() == EventKind.REQUEST_RETRIED) {
            timeline.recordRequestEvent(event.kind(), event.reason(), event::fields);
        } else {
            timeline.recordEvent(event.kind(), event.reason(), event.fields());
        }
    }

    private void flushPendingRefusal() {
        pendingRefusal.ifPresent(this::recordRefusal);
        pendingRefusal = Optional.empty();
    }

    private void recordRefusal(Action.Refuse refuse) {
        Refusal refusal = refuse.refusal();
        timeline.recordRequestEvent(
                EventKind.REQUEST_REFUSED,
                refusal.reason().summary(),
                () -> List.of(
                        Field.of(REQUEST, refuse.request()),
                        Field.of("refusal", refusal.reason().text()),
                        Field.of("outcome", refusal.outcome().text())));
    }

    private void recordMembers(Observation.MembersUpdated update) {
        Set<String> next =
                update.members().stream().map(m -> m.id().value()).collect(Collectors.toCollection(TreeSet::new));
        if (next.equals(members)) {
            return;
        }
        Set<String> joined = new TreeSet<>(next);
        joined.removeAll(members);
        Set<String> left = new TreeSet<>(members);
        left.removeAll(next);
        members = next;
        timeline.recordEvent(
                EventKind.MEMBERS_CHANGED,
                "",
                List.of(Field.of("live", next.size()), Field.of("joined", joined), Field.of("left", left)));
    }

    private void recordDispatch(Action.Dispatch dispatch) {
        boolean first = dispatch.attempt() == 1;
        BackendServer server = dispatch.server();
        timeline.recordRequestEvent(
                first ? EventKind.REQUEST_DISPATCHED : EventKind.REQUEST_RETRIED,
                first ? FIRST_ATTEMPT : LATER_ATTEMPT,
                () -> List.of(
                        Field.of(REQUEST, dispatch.request()),
                        Field.of("attempt", dispatch.attempt()),
                        Field.of("server", server.id()),
                        Field.of("version", server.version()),
                        Field.of("dataCentre", server.dataCentre()),
                        Field.of("transfer", dispatch.transfer())));
    }
}
