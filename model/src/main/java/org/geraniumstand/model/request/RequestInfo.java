package org.geraniumstand.model.request;

import java.util.List;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;

/**
 * Holds the properties of a request that routing and admission decisions use.
 *
 * @param id identifier of the request
 * @param team the team that sent it
 * @param service the service that handles the request
 * @param route the route that matched the request
 * @param idempotent whether it may be sent to backend servers more than once
 * @param streaming whether the response is streamed
 * @param priority priority of the request
 * @param deadlineNanos deadline of the caller, on the process's monotonic clock in nanoseconds
 * @param promptTokens estimated number of prompt tokens; zero for plain services
 * @param answerTokens estimated or requested number of answer tokens; zero for plain services
 * @param prefixBlocks hashes of the prompt's prefix blocks, shortest prefix first
 */
public record RequestInfo(
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
    /** Makes a defensive copy of the list. */
    public RequestInfo {
        prefixBlocks = List.copyOf(prefixBlocks);
    }
}
