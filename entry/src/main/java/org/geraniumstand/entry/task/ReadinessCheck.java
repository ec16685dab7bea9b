package org.geraniumstand.entry.task;

import java.util.Optional;
import org.geraniumstand.decisions.membership.ReadinessRule;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.peer.exchange.GossipView;

/** Tells the balancer's check whether the shared facts allow this process to serve. */
public final class ReadinessCheck {
    private final SharedState facts;
    private final StoreContact contact;
    private final int level;

    /**
     * Creates a check.
     *
     * @param facts the shared facts
     * @param contact tells when the store last answered
     * @param level protocol level of this process
     */
    public ReadinessCheck(SharedState facts, StoreContact contact, int level) {
        this.facts = facts;
        this.contact = contact;
        this.level = level;
    }

    /** Returns why the process is not ready, or nothing if it is; any thread may ask. */
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
