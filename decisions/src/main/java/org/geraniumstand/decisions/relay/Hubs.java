package org.geraniumstand.decisions.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.decisions.Hash;
import org.geraniumstand.decisions.membership.Rendezvous;
import org.geraniumstand.model.id.ProcessId;

/** Chooses the processes that do a task for all. */
@Decision(
        name = "hubs",
        summary =
                "Two processes, those whose names hash highest for a task, do it for all, so that the others' work does"
                        + " not grow with their number.")
public final class Hubs {
    /** Processes that share a task; one may fail without a gap. */
    private static final int COORDINATORS = 2;

    private Hubs() {}

    /** Tasks that two processes do for all. */
    public enum Task {
        /** Adds up what all processes let teams use. */
        ADD_UP_USE,

        /** Asks the store for changes and tells them. */
        READ_STORE,

        /** Takes the duties when nobody holds them. */
        HOLD_DUTIES,

        /** Gathers the counts of requests that all processes report. */
        COUNT_REQUESTS
    }

    /**
     * Chooses the hubs; processes that know the same members choose the same ones.
     *
     * @param task the task
     * @param members all live processes
     * @return the hubs, the one that counts first
     */
    public static List<ProcessId> choose(Task task, Collection<ProcessId> members) {
        return Rendezvous.highest(members, id -> Hash.of(task + "/" + id.value()), Comparator.naturalOrder(), COORDINATORS);
    }
}
