package org.geraniumstand.decisions.membership;

import java.util.Collection;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/** Decides whether this process watches the store for all. */
@Decision(name = "watcher-choice", summary = "Five members watch the store; the others learn of changes from them.")
public final class WatcherChoice {
    /** Members that watch. */
    public static final int WATCHERS = 5;

    private WatcherChoice() {}

    /**
     * Tells whether a process is among the watchers.
     *
     * @param self the process
     * @param members the live members, the process included
     */
    public static boolean watches(ProcessId self, Collection<Member> members) {
        return Rendezvous.top("watchers", members, m -> m.id().value(), WATCHERS).stream()
                .anyMatch(m -> m.id().equals(self));
    }
}
