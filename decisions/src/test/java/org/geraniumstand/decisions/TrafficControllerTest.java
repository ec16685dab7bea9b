package org.geraniumstand.decisions;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;

import java.util.List;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;
import org.junit.jupiter.api.Test;

final class TrafficControllerTest {
    private static final Timestamp START = new Timestamp(0, 0);
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final TrafficController controller = new TrafficController(new ProcessId("p1"));

    @Test
    void refusesRequestWhenNoConfigurationIsInForce() {
        List<Action> actions = controller.handle(new Observation.RequestArrived(request()), START);

        assertThat(actions, contains(instanceOf(Action.Refuse.class), instanceOf(Action.RecordEvent.class)));
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
                SECOND_NANOS,
                10,
                10,
                List.of());
    }
}
