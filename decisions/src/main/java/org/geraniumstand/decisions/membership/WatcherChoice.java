package org.geraniumstand.decisions.membership;

import java.util.Collection;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/** Decides whether this process watches the store on behalf of all members. */
@Decision(
        name = "watcher-choice",
        summary = "Five members watch the store and forward its changes to the other members.")
public final class WatcherChoice {
    /** Number of members that watch the store. */
    public static final int WATCHERS = 5;

    private WatcherChoice() {}

    /**
     * Returns whether a process is one of the watchers.
     *
     * @param self the process
     * @param members the live members, including this process
     */
    public static boolean watches(ProcessId self, Collection<Member> members) {
        return RendezvousHashing.top("watchers", members, member -> member.id().value(), WATCHERS).stream()
                .anyMatch(member -> member.id().equals(self));
    }
}
