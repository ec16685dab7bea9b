package org.geraniumstand.entry.task;

import java.util.Optional;
import org.geraniumstand.decisions.membership.ReadinessRule;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.peer.exchange.GossipView;

/** Checks whether the shared state allows this process to serve requests. */
public final class ReadinessCheck {
    private final SharedState sharedState;
    private final StoreAvailability availability;
    private final int level;

    /**
     * Creates a check.
     *
     * @param sharedState state shared with the other entry processes
     * @param availability provides the time of the store's last response
     * @param level protocol level of this process
     */
    public ReadinessCheck(SharedState sharedState, StoreAvailability availability, int level) {
        this.sharedState = sharedState;
        this.availability = availability;
        this.level = level;
    }

    /** Returns why the process is not ready, or empty if it is ready; may be called on any thread. */
    public Optional<String> refusal() {
        GossipView view = sharedState.view();
        long now = System.nanoTime();
        long store = availability.lastAnswerNanos();
        long peer = view.lastReceivedNanos();
        long last = store - peer > 0 ? store : peer;
        return ReadinessRule.notReadyReason(
                new ReadinessRule.Facts(view.generation() >= 0, view.peersSeen(), last, level, view.blockedLevel()),
                now);
    }
}
