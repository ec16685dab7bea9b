package org.geraniumstand.model.request;

import java.util.List;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;

/**
 * What decisions need to know about a request.
 *
 * @param id the request
 * @param team the team that sent it
 * @param service the service that answers
 * @param route the route that it came by
 * @param idempotent whether it may reach backend servers more than once
 * @param streaming whether the answer streams
 * @param priority its priority
 * @param deadlineNanos when the caller stops waiting, on the process's monotonic clock in nanoseconds
 * @param promptTokens estimated tokens of the prompt; zero for plain services
 * @param answerTokens estimated or demanded tokens of the answer; zero for plain services
 * @param prefixBlocks hashes of the prompt's prefix blocks, the shortest prefix first
 */
public record RequestFacts(
        RequestId id,
        TeamId team,
        ServiceId service,
        RouteId route,
        boolean idempotent,
        boolean streaming,
        Priority priority,
        long deadlineNanos,
        int promptTokens,
        int answerTokens,
        List<Long> prefixBlocks) {
    /** Copies the list. */
    public RequestFacts {
        prefixBlocks = List.copyOf(prefixBlocks);
    }
}
