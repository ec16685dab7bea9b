package org.geraniumstand.decisions.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.geraniumstand.decisions.request.InFlightRequest;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.request.RequestInfo;

/**
 * Queues the requests of a service that wait for a server.
 *
 * <p>Requests that were already in progress are dispatched first. Interactive requests precede batch requests, except
 * that one in a fixed number of dispatches prefers batch requests, so that these are never starved. Within each
 * priority, requests are scheduled fairly among teams.
 */
public final class FairQueue {
    /** Maximum number of waiting requests of a team and priority. */
    public static final int MAX_WAITING_PER_TEAM = 256;

    private static final int BATCH_FIRST_ONE_IN = 8;

    private final Deque<InFlightRequest> resumed = new ArrayDeque<>();
    private final Map<TeamId, Deque<InFlightRequest>> interactive = new TreeMap<>();
    private final Map<TeamId, Deque<InFlightRequest>> batch = new TreeMap<>();
    private final TeamScheduler interactiveScheduler = new TeamScheduler();
    private final TeamScheduler batchScheduler = new TeamScheduler();
    private int dispatches;

    /**
     * Adds a request.
     *
     * @param request the request
     * @return false if the queue of the request's team is full
     */
    public boolean add(InFlightRequest request) {
        Map<TeamId, Deque<InFlightRequest>> queues = queuesOf(request);
        TeamId team = request.info().team();
        Deque<InFlightRequest> queue = queues.get(team);
        if (queue == null) {
            queue = new ArrayDeque<>();
            queues.put(team, queue);
            schedulerOf(request).onActive(team);
        }
        if (queue.size() >= MAX_WAITING_PER_TEAM) {
            return false;
        }
        queue.add(request);
        return true;
    }

    /**
     * Adds a request that was in progress and needs another server.
     *
     * @param request the request
     */
    public void addResumed(InFlightRequest request) {
        resumed.add(request);
    }

    private Map<TeamId, Deque<InFlightRequest>> queuesOf(InFlightRequest request) {
        return request.info().priority() == Priority.BATCH ? batch : interactive;
    }

    private TeamScheduler schedulerOf(InFlightRequest request) {
        return request.info().priority() == Priority.BATCH ? batchScheduler : interactiveScheduler;
    }

    /**
     * Dispatches requests in scheduling order until no further request can be dispatched.
     *
     * @param weight returns the weight of a team
     * @param tryDispatch dispatches a request if a server has spare concurrency, and returns whether it did
     */
    public void dispatchAll(ToIntFunction<TeamId> weight, Predicate<InFlightRequest> tryDispatch) {
        resumed.removeIf(tryDispatch);
        boolean dispatched = true;
        while (dispatched) {
            boolean batchFirst = dispatches % BATCH_FIRST_ONE_IN == BATCH_FIRST_ONE_IN - 1;
            dispatched = batchFirst
                    ? dispatchNext(batch, batchScheduler, weight, tryDispatch)
                            || dispatchNext(interactive, interactiveScheduler, weight, tryDispatch)
                    : dispatchNext(interactive, interactiveScheduler, weight, tryDispatch)
                            || dispatchNext(batch, batchScheduler, weight, tryDispatch);
            dispatches += dispatched ? 1 : 0;
        }
    }

    /**
     * Dispatches the first request of the next team, or of a later team if that request cannot be dispatched: the
     * versions or servers that may serve it may be full while those for other requests are not.
     */
    private static boolean dispatchNext(
            Map<TeamId, Deque<InFlightRequest>> queues,
            TeamScheduler scheduler,
            ToIntFunction<TeamId> weight,
            Predicate<InFlightRequest> tryDispatch) {
        Set<TeamId> teams = new HashSet<>(queues.keySet());
        while (!teams.isEmpty()) {
            TeamId team = scheduler.next(teams);
            teams.remove(team);
            Deque<InFlightRequest> queue = queues.get(team);
            InFlightRequest request = queue.peek();
            if (!tryDispatch.test(request)) {
                continue;
            }
            queue.remove();
            if (queue.isEmpty()) {
                queues.remove(team);
            }
            scheduler.charge(team, cost(request.info()), weight.applyAsInt(team));
            return true;
        }
        return false;
    }

    private static double cost(RequestInfo info) {
        return 1 + info.promptTokens() + info.answerTokens();
    }

    /**
     * Removes the requests that match a condition.
     *
     * @param condition returns whether to remove a request
     * @return the removed requests
     */
    public List<InFlightRequest> removeIf(Predicate<InFlightRequest> condition) {
        List<InFlightRequest> removed = new ArrayList<>();
        remove(resumed, condition, removed);
        for (Map<TeamId, Deque<InFlightRequest>> queues : List.of(interactive, batch)) {
            queues.values().forEach(queue -> remove(queue, condition, removed));
            queues.values().removeIf(Deque::isEmpty);
        }
        return removed;
    }

    private static void remove(
            Deque<InFlightRequest> queue, Predicate<InFlightRequest> condition, List<InFlightRequest> removed) {
        for (Iterator<InFlightRequest> it = queue.iterator(); it.hasNext(); ) {
            InFlightRequest request = it.next();
            if (condition.test(request)) {
                it.remove();
                removed.add(request);
            }
        }
    }

    /** Returns the number of waiting requests. */
    public int size() {
        int size = resumed.size();
        for (Deque<InFlightRequest> queue : interactive.values()) {
            size += queue.size();
        }
        for (Deque<InFlightRequest> queue : batch.values()) {
            size += queue.size();
        }
        return size;
    }

    /** Returns whether no request is waiting. */
    public boolean isEmpty() {
        return resumed.isEmpty() && interactive.isEmpty() && batch.isEmpty();
    }

    /**
     * Returns the estimated number of waiting requests that would be dispatched before a new request.
     *
     * @param info the new request
     * @param weight returns the weight of a team
     */
    public double requestsAhead(RequestInfo info, ToIntFunction<TeamId> weight) {
        Map<TeamId, Deque<InFlightRequest>> queues = info.priority() == Priority.BATCH ? batch : interactive;
        Deque<InFlightRequest> ownQueue = queues.get(info.team());
        int ownAhead = ownQueue == null ? 0 : ownQueue.size();
        double ownWeight = Math.max(1, weight.applyAsInt(info.team()));
        double ahead = ownAhead + resumed.size();
        for (Map.Entry<TeamId, Deque<InFlightRequest>> entry : queues.entrySet()) {
            if (!entry.getKey().equals(info.team())) {
                double fairShare = (ownAhead + 1) * weight.applyAsInt(entry.getKey()) / ownWeight;
                ahead += Math.min(entry.getValue().size(), fairShare);
            }
        }
        return ahead;
    }

    /**
     * Returns waiting requests up to a maximum number, in no particular order.
     *
     * @param maxRequests maximum number of requests to return
     */
    public List<InFlightRequest> sample(int maxRequests) {
        List<InFlightRequest> requests = new ArrayList<>(resumed);
        interactive.values().forEach(requests::addAll);
        batch.values().forEach(requests::addAll);
        return requests.size() <= maxRequests ? requests : requests.subList(0, maxRequests);
    }
}
