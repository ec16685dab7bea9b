package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.junit.jupiter.api.Test;

final class NeighbourChoiceTest {
    @Test
    void smallGroupFormsFullMesh() {
        List<Member> members = Members.many(NeighbourChoice.FULL_MESH_MEMBERS);
        List<Member> chosen = NeighbourChoice.choose(members.get(0).id(), members);
        assertThat(chosen, hasSize(NeighbourChoice.FULL_MESH_MEMBERS - 1));
    }

    @Test
    void largeGroupIsConnectedThroughFewNeighboursEach() {
        List<Member> members = Members.many(330);
        Map<ProcessId, Set<ProcessId>> graph = graph(members);
        graph.forEach((id, _links) ->
                assertThat(NeighbourChoice.choose(id, members), hasSize(NeighbourChoice.CHOSEN_NEIGHBOURS)));
        Set<ProcessId> reached = new HashSet<>(Set.of(members.get(0).id()));
        int rounds = 0;
        while (reached.size() < members.size() && rounds < members.size()) {
            rounds++;
            Set.copyOf(reached).forEach(id -> reached.addAll(graph.get(id)));
        }
        assertThat(reached, hasSize(330));
        // The logarithm of 330 to the base 2 is 8.4.
        assertThat(rounds, is(lessThanOrEqualTo(8)));
    }

    @Test
    void newMemberChangesFewSelections() {
        List<Member> before = Members.many(200);
        List<Member> after = Members.many(201);
        long changed = before.stream()
                .filter(member ->
                        !NeighbourChoice.choose(member.id(), before).equals(NeighbourChoice.choose(member.id(), after)))
                .count();
        assertThat(changed, is(lessThanOrEqualTo(20L)));
    }

    private static Map<ProcessId, Set<ProcessId>> graph(List<Member> members) {
        Map<ProcessId, Set<ProcessId>> graph = new HashMap<>();
        for (Member member : members) {
            for (Member neighbour : NeighbourChoice.choose(member.id(), members)) {
                graph.computeIfAbsent(member.id(), _id -> new HashSet<>()).add(neighbour.id());
                graph.computeIfAbsent(neighbour.id(), _id -> new HashSet<>()).add(member.id());
            }
        }
        return graph;
    }
}
