package org.geraniumstand.entry.operator;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumstand.entry.timeline.Timeline;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.operation.TimelinePage;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.status.MemberStatus;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.AsyncHttpClient;
import org.geraniumstand.support.net.FullHttpResponse;
import org.geraniumstand.support.net.HttpBody;
import org.geraniumstand.support.net.HttpFailure;
import org.geraniumstand.support.net.HttpRequest;

/**
 * Sends the most recent events of a stopping process to another process.
 *
 * <p>Hosts have no persistent storage, so the timeline of a process would be lost at its end. Losing the events
 * affects diagnosis only, never a request, so there is one attempt and no retry.
 */
public final class TimelineHandover {
    /** Path of the operators' listener that accepts events. */
    static final String PATH = "/v1/timeline/legacy";

    private static final Log LOG = Log.of(TimelineHandover.class);
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final int FIRST_ERROR_STATUS = 400;

    private final ProcessId self;
    private final Timeline timeline;
    private final AsyncHttpClient calls;
    private final String token;

    /**
     * Creates a handover.
     *
     * @param self this process
     * @param timeline events of this process
     * @param calls HTTP client
     * @param token operators' bearer token, which all entry processes share
     */
    public TimelineHandover(ProcessId self, Timeline timeline, AsyncHttpClient calls, String token) {
        this.self = self;
        this.timeline = timeline;
        this.calls = calls;
        this.token = token;
    }

    /**
     * Sends the events to a member that is not stopping and waits for its response.
     *
     * @param members live members
     */
    public void send(List<MemberStatus> members) {
        Optional<Member> successor = members.stream()
                .map(MemberStatus::member)
                .filter(member -> !member.id().equals(self) && !member.stopping())
                .findFirst();
        successor.ifPresent(this::send);
    }

    private void send(Member successor) {
        URI origin = URI.create("http://" + successor.address() + ":" + successor.operatorPort());
        HttpBody body = HttpBody.of(Json.write(new TimelinePage(self, timeline.handoverEvents(), timeline.dropped())));
        HttpRequest request = new HttpRequest("POST", origin, PATH, List.of(), body, CALL_TIMEOUT_MILLIS, false)
                .withHeader("Authorization", "Bearer " + token);
        CompletableFuture<Result<FullHttpResponse, HttpFailure>> response = new CompletableFuture<>();
        calls.send(request, response::complete);
        boolean eventsAccepted = response.join()
                .value()
                .map(a -> a.status() < FIRST_ERROR_STATUS)
                .orElse(false);
        LOG.info("timeline-handed-over", Field.of("to", successor.id()), Field.of("taken", eventsAccepted));
    }
}
