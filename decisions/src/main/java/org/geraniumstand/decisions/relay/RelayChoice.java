package org.geraniumstand.decisions.relay;

import java.util.List;
import java.util.Optional;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.PromptPart;
import org.geraniumstand.model.relay.RelayService;

/** Chooses the backend server of a call. */
@Decision(
        name = "relay-choice",
        summary = "Of the servers with room, the one at which the call is expected to start first is chosen, with a"
                + " price for tokens that are read again and for bytes between data centres.")
public final class RelayChoice {
    /** Milliseconds that a model engine takes to read a token; the sheets give 93.6 tokens a millisecond. */
    private static final double READ_MILLIS = 1 / 93.6;

    /** Milliseconds that each running request adds until the next token; the sheets give 0.11 a step, of a few. */
    private static final double RUNNING_MILLIS = 0.5;

    /** Milliseconds that each call ahead adds at a plain service; its work takes about 20, on several slots. */
    private static final double PLAIN_MILLIS = 20;

    /** Milliseconds that another data centre costs: the round trip, and the price of its bytes. */
    private static final double FAR_MILLIS = 4;

    /** Milliseconds that a cold server costs against a warm one. */
    private static final double COLD_MILLIS = 150;

    /**
     * Part of an engine's slots by which calls may queue there: a place that comes free is taken at once, while the processes
     * hear of it only after some 400 ms.
     */
    private static final double ENGINE_QUEUE_SHARE = 0.6;

    /** Requests in a plain server's queue beyond its slots that still start in time. */
    private static final int PLAIN_QUEUE = 6;

    private final DataCentreId home;
    private final RelayFleet fleet;
    private final PromptHomes prompts;
    private final ColdPace pace;

    /**
     * Creates a choice.
     *
     * @param home the data centre of this process
     * @param fleet the servers
     * @param prompts estimates what they hold in their caches
     * @param pace paces what goes to cold ones
     */
    public RelayChoice(DataCentreId home, RelayFleet fleet, PromptHomes prompts, ColdPace pace) {
        this.home = home;
        this.fleet = fleet;
        this.prompts = prompts;
        this.pace = pace;
    }

    /**
     * A chosen server.
     *
     * @param server the server
     * @param unreadTokens prompt tokens that it has to read
     */
    public record Chosen(ServerView server, double unreadTokens) {}

    /**
     * Returns whether any server of a service may take new work.
     *
     * @param service the service
     */
    public boolean any(ServiceId service) {
        return !fleet.takingWork(service).isEmpty();
    }

    /**
     * Chooses a server with room, or nothing.
     *
     * @param call the call
     * @param service its service
     * @param processes processes that share what cold servers bear
     * @param nowNanos the monotonic time in nanoseconds
     */
    public Optional<Chosen> choose(RelayCall call, RelayService service, int processes, long nowNanos) {
        List<ServerView> servers = fleet.takingWork(call.service());
        boolean othersAwake = anyAwake(servers, call, nowNanos);
        List<PromptPart> prompt = call.head().prompt();
        ServerView preferred = prompt.isEmpty() ? null : home(prompt, servers, nowNanos);
        ServerView best = null;
        double bestUnread = 0;
        double bestCost = Double.POSITIVE_INFINITY;
        for (ServerView view : servers) {
            boolean passedOver = othersAwake && !awake(view, call, nowNanos);
            if (passedOver || !hasRoom(view, service, processes, nowNanos)) {
                continue;
            }
            double unread = service.engine().isEmpty()
                    ? 0
                    : prompts.unread(
                            prompt, call.head().promptTokens(), view.server().id(), view.equals(preferred), nowNanos);
            double cost = cost(view, service, unread, nowNanos) + tie(call, view);
            if (cost < bestCost) {
                bestCost = cost;
                bestUnread = unread;
                best = view;
            }
        }
        return best == null ? Optional.empty() : Optional.of(new Chosen(best, bestUnread));
    }

    private static boolean awake(ServerView view, RelayCall call, long nowNanos) {
        return !view.paused(nowNanos) && !call.tried(view.server().id());
    }

    private static boolean anyAwake(List<ServerView> servers, RelayCall call, long nowNanos) {
        for (ServerView view : servers) {
            if (awake(view, call, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private static ServerView home(List<PromptPart> prompt, List<ServerView> servers, long nowNanos) {
        long key = PromptHomes.homeKey(prompt);
        ServerView best = null;
        long most = Long.MIN_VALUE;
        for (ServerView view : servers) {
            long weight = PromptHomes.weight(key, view.hash());
            if (weight >= most && !view.paused(nowNanos)) {
                most = weight;
                best = view;
            }
        }
        return best;
    }

    /**
     * Returns how many calls the servers of a service have room for, as far as is known.
     *
     * @param service the service
     * @param processes processes that share what cold servers bear
     * @param nowNanos the monotonic time in nanoseconds
     */
    public int places(RelayService service, int processes, long nowNanos) {
        int places = 0;
        for (ServerView view : fleet.takingWork(service.id())) {
            if (paced(view, service, nowNanos)) {
                places += allowed(view, service, processes, nowNanos) && room(view, service, nowNanos) > 0 ? 1 : 0;
            } else {
                places += Math.max(0, room(view, service, nowNanos));
            }
        }
        return places;
    }

    private boolean allowed(ServerView view, RelayService service, int processes, long nowNanos) {
        return pace.allows(view.server().id(), service.coldPerSecond(), processes, nowNanos);
    }

    private static boolean paced(ServerView view, RelayService service, long nowNanos) {
        return view.cold(service, nowNanos) && service.coldPerSecond() > 0;
    }

    private boolean hasRoom(ServerView view, RelayService service, int processes, long nowNanos) {
        boolean heldBack = paced(view, service, nowNanos) && !allowed(view, service, processes, nowNanos);
        return !heldBack && room(view, service, nowNanos) > 0;
    }

    private static int room(ServerView view, RelayService service, long nowNanos) {
        int slots = view.server().slots();
        int most = slots + (service.engine().isPresent() ? (int) (slots * ENGINE_QUEUE_SHARE) : PLAIN_QUEUE);
        return most - view.occupied(nowNanos);
    }

    private double cost(ServerView view, RelayService service, double unread, long nowNanos) {
        double cost = view.server().dataCentre().equals(home) ? 0 : FAR_MILLIS;
        if (view.cold(service, nowNanos)) {
            cost += COLD_MILLIS;
        }
        if (service.engine().isPresent()) {
            // Tokens read again cost twice: this call waits for them, and so do those that run there.
            return cost + (view.pendingTokens() + 2 * unread) * READ_MILLIS + view.load(nowNanos) * RUNNING_MILLIS;
        }
        int ahead = Math.max(0, view.load(nowNanos) + 1 - view.server().slots());
        return cost + (ahead + (double) view.load(nowNanos) / view.server().slots()) * PLAIN_MILLIS;
    }

    // Spreads calls over servers that are otherwise equal.
    private static double tie(RelayCall call, ServerView view) {
        return Hash.below(Hash.mix(call.arrivedNanos() ^ view.hash()), 1000) / 1000.0;
    }
}
