package org.geraniumstand.peer.exchange;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/**
 * Holds a snapshot of the state that this process shares with its peers.
 *
 * @param members the live members, including this process
 * @param generations known generation of the configuration in force, by process
 * @param generation generation of the configuration in force at this process, or -1 if there is none
 * @param text the configuration in force as JSON text, or empty if there is none
 * @param confirmedNanos monotonic time in nanoseconds at which the store last confirmed the configuration in force to
 *     this process or to a peer, or empty if it never did
 * @param blockedLevel protocol level that the newest rejected configuration requires, if that is above the level of
 *     this process; zero otherwise
 * @param peersSeen true if this process has ever known another process
 * @param lastReceivedNanos monotonic time in nanoseconds at which the last message from a peer arrived
 */
public record GossipView(
        List<Member> members,
        Map<ProcessId, Long> generations,
        long generation,
        Optional<String> text,
        Optional<Long> confirmedNanos,
        int blockedLevel,
        boolean peersSeen,
        long lastReceivedNanos) {
    /** Copies the collections. */
    public GossipView {
        members = List.copyOf(members);
        generations = Map.copyOf(generations);
    }

    /** Returns the lowest protocol level among the live members. */
    public int lowestLevel() {
        return members.stream().mapToInt(Member::level).min().orElse(0);
    }
}
