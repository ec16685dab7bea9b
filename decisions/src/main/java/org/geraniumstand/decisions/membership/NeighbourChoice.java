package org.geraniumstand.decisions.membership;

import java.util.Collection;
import java.util.List;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;

/** Selects the members that a process keeps connections to. */
@Decision(
        name = "neighbour-choice",
        summary = "Up to 16 members form a full mesh; in larger groups each member connects to a small stable subset.")
public final class NeighbourChoice {
    /** Maximum number of members, including this process, that form a full mesh. */
    public static final int FULL_MESH_MEMBERS = 16;

    /** Members that a process connects to in larger groups; on average as many others connect to it. */
    public static final int CHOSEN_NEIGHBOURS = 4;

    private NeighbourChoice() {}

    /**
     * Returns the members to connect to.
     *
     * @param self this process
     * @param members the live members
     */
    public static List<Member> choose(ProcessId self, Collection<Member> members) {
        List<Member> others =
                members.stream().filter(member -> !member.id().equals(self)).toList();
        if (others.size() < FULL_MESH_MEMBERS) {
            return others;
        }
        return RendezvousHashing.top(
                "neighbours/" + self, others, member -> member.id().value(), CHOSEN_NEIGHBOURS);
    }
}
