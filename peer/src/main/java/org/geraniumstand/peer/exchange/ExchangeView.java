package org.geraniumstand.peer.exchange;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/**
 * What an exchange knew at one time.
 *
 * @param members the live members, this process included
 * @param generations generation in force by process, as far as known
 * @param generation generation in force here, or -1 without one
 * @param text the document in force, JSON text
 * @param confirmedNanos when the store last confirmed it, here or at a peer, on the monotonic clock in nanoseconds
 * @param blockedLevel protocol level that the newest document needs if it is above this process's own, else zero
 * @param othersKnown whether other processes were ever known
 * @param lastHeardNanos when a peer was last heard, on the monotonic clock in nanoseconds
 */
public record ExchangeView(
        List<Member> members,
        Map<ProcessId, Long> generations,
        long generation,
        Optional<String> text,
        Optional<Long> confirmedNanos,
        int blockedLevel,
        boolean othersKnown,
        long lastHeardNanos) {
    /** Copies the collections. */
    public ExchangeView {
        members = List.copyOf(members);
        generations = Map.copyOf(generations);
    }

    /** Returns the lowest protocol level among the live members. */
    public int lowestLevel() {
        return members.stream().mapToInt(Member::level).min().orElse(0);
    }
}
