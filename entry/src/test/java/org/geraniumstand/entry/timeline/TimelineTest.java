package org.geraniumstand.entry.timeline;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.HybridTime;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.model.timeline.TimelineEvent;
import org.junit.jupiter.api.Test;

final class TimelineTest {
    private final AtomicLong wallMillis = new AtomicLong(1_000);
    private final HybridClock clock = new HybridClock(wallMillis::get);
    private final Timeline timeline = new Timeline(new ProcessId("p1"), clock);
    private final TimelineListener listener = new TimelineListener(timeline);

    @Test
    void evictsOldestStateEvents() {
        for (int i = 0; i <= Timeline.STATE_EVENTS; i++) {
            timeline.recordEvent(EventKind.MEMBERS_CHANGED, "", List.of());
        }

        assertThat(timeline.since(0, false).size(), is(Timeline.STATE_EVENTS));
        assertThat(timeline.dropped(), is(1L));
    }

    @Test
    void requestEventsDoNotEvictStateEvents() {
        timeline.recordEvent(EventKind.CONFIGURATION_IN_FORCE, "", List.of());
        for (int i = 0; i < 2 * Timeline.REQUEST_EVENTS; i++) {
            timeline.recordRequestEvent(EventKind.REQUEST_ANSWERED, "", List::of);
        }

        assertThat(kinds(timeline.since(0, false)), contains(EventKind.CONFIGURATION_IN_FORCE));
    }

    @Test
    void sinceOmitsEarlierEvents() {
        timeline.recordEvent(EventKind.PROCESS_STARTED, "", List.of());
        wallMillis.set(2_000);
        timeline.recordEvent(EventKind.PROCESS_STOPPING, "", List.of());

        assertThat(kinds(timeline.since(2_000, false)), contains(EventKind.PROCESS_STOPPING));
    }

    @Test
    void findsEventsByCallerRequestId() {
        listener.onRequestArrived(request(), "counter-7");
        listener.onObservation(new Observation.AttemptEnded(
                new RequestId("r1"), 1, new AttemptResult(AttemptEnd.BROKEN, -1, 5, 0, -1)));
        listener.onAction(new Action.Refuse(new RequestId("r1"), Refusal.unknown(RefusalReason.SERVER_FAILED)));
        listener.onAction(new Action.Refuse(new RequestId("r2"), Refusal.unknown(RefusalReason.SERVER_FAILED)));
        listener.onObservation(new Observation.Tick());

        List<TimelineEvent> events = timeline.eventsFor("counter-7");

        assertThat(
                kinds(events), contains(EventKind.REQUEST_ARRIVED, EventKind.ATTEMPT_ENDED, EventKind.REQUEST_REFUSED));
        assertThat(events.get(2).reason(), is(RefusalReason.SERVER_FAILED.summary()));
    }

    @Test
    void recordsRefusalOnceWithReasonOfDecision() {
        listener.onAction(new Action.Refuse(new RequestId("r1"), Refusal.unknown(RefusalReason.SERVER_FAILED)));
        listener.onAction(new Action.RecordEvent(
                EventKind.REQUEST_REFUSED, "The decision gives this reason.", List.of(Field.of("request", "r1"))));
        listener.onObservation(new Observation.Tick());

        List<TimelineEvent> events = timeline.eventsFor("r1");
        assertThat(events.size(), is(1));
        assertThat(events.get(0).reason(), is("The decision gives this reason."));
    }

    @Test
    void importsEventsOfStoppedProcess() {
        Timeline stopped = new Timeline(new ProcessId("p2"), new HybridClock(() -> 500));
        stopped.recordEvent(EventKind.PROCESS_STOPPED, "", List.of());
        timeline.importEvents(stopped.handoverEvents());

        assertThat(timeline.since(0, false), is(stopped.since(0, false)));
    }

    @Test
    void recordsMembersOnlyOnChange() {
        listener.onObservation(new Observation.MembersUpdated(List.of()));
        listener.onObservation(new Observation.MembersUpdated(List.of(member("p2"))));
        listener.onObservation(new Observation.MembersUpdated(List.of(member("p2"))));
        listener.onObservation(new Observation.MembersUpdated(List.of()));

        List<TimelineEvent> events = timeline.since(0, false);
        assertThat(events.size(), is(2));
        assertThat(events.get(1).fields().get(2), is(Field.of("left", "[p2]")));
    }

    @Test
    void timestampsIncreaseAndFollowOtherProcesses() {
        clock.merge(new HybridTime(5_000, 3));

        assertThat(clock.next(), is(new HybridTime(5_000, 4)));
        wallMillis.set(6_000);
        assertThat(clock.next(), is(new HybridTime(6_000, 0)));
        assertThat(clock.last(), is(new HybridTime(6_000, 0)));
    }

    private static List<EventKind> kinds(List<TimelineEvent> events) {
        return events.stream().map(TimelineEvent::kind).toList();
    }

    private static Member member(String id) {
        return new Member(new ProcessId(id), new DataCentreId("west-1"), "127.0.0.1", 1, 2, 3, 1, false);
    }

    private static RequestInfo request() {
        return new RequestInfo(
                new RequestId("r1"),
                new TeamId("counter"),
                new ServiceId("board-model"),
                new RouteId("chat"),
                true,
                false,
                Priority.INTERACTIVE,
                0,
                10,
                10,
                List.of());
    }
}
