package org.geraniumstand.entry.task;

import java.util.Optional;
import org.geraniumstand.decisions.membership.ReadinessRule;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.peer.exchange.GossipView;

/** Checks whether the shared state allows this process to serve requests. */
public final class ReadinessCheck {
    private final SharedState facts;
    private final StoreContact contact;
    private final int level;

    /**
     * Creates a check.
     *
     * @param facts state shared with the other entry processes
     * @param contact provides the time of the store's last response
     * @param level protocol level of this process
     */
    public ReadinessCheck(SharedState facts, StoreContact contact, int level) {
        this.facts = facts;
        this.contact = contact;
        this.level = level;
    }

    /** Returns why the process is not ready, or empty if it is ready; may be called on any thread. */
    public Optional<String> refusal() {
        GossipView view = facts.view();
        long now = System.nanoTime();
        long store = contact.lastAnswerNanos();
        long peer = view.lastHeardNanos();
        long last = store - peer > 0 ? store : peer;
        return ReadinessRule.notReadyReason(
                new ReadinessRule.Facts(view.generation() >= 0, view.othersKnown(), last, level, view.blockedLevel()),
                now);
    }
}
