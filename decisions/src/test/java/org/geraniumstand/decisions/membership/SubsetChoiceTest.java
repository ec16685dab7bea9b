package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.junit.jupiter.api.Test;

final class SubsetChoiceTest {
    private static final ProcessId SELF = new ProcessId("self");

    @Test
    void smallDeploymentUsesAllServers() {
        assertThat(SubsetChoice.choose(SELF, NeighbourChoice.FULL_MESH_MEMBERS, servers(40, "1")), hasSize(40));
    }

    @Test
    void largeDeploymentUsesSubsetOfEachGroup() {
        List<BackendServer> all = new ArrayList<>(servers(40, "1"));
        all.add(server(99, "2"));
        List<BackendServer> chosen = SubsetChoice.choose(SELF, 330, all);
        assertThat(chosen, hasSize(SubsetChoice.SERVERS_PER_GROUP + 1));
        assertThat(chosen, hasItem(server(99, "2")));
    }

    @Test
    void removedServerIsReplacedAndOthersStay() {
        List<BackendServer> all = new ArrayList<>(servers(40, "1"));
        List<BackendServer> before = SubsetChoice.choose(SELF, 330, all);
        all.remove(before.get(0));
        Set<BackendServer> added = new HashSet<>(SubsetChoice.choose(SELF, 330, all));
        added.removeAll(before);
        assertThat(added, hasSize(1));
    }

    @Test
    void everyServerIsInSomeSubset() {
        List<BackendServer> all = servers(40, "1");
        Set<BackendServer> used = new HashSet<>();
        IntStream.range(0, 330).forEach(i -> used.addAll(SubsetChoice.choose(new ProcessId("p" + i), 330, all)));
        assertThat(used.size(), is(40));
        assertThat(SubsetChoice.choose(SELF, 330, all).size(), is(lessThanOrEqualTo(40)));
    }

    private static List<BackendServer> servers(int count, String version) {
        return IntStream.range(0, count).mapToObj(i -> server(i, version)).toList();
    }

    private static BackendServer server(int number, String version) {
        return new BackendServer(
                new ServerId("server-" + number),
                new ServiceId("model"),
                new VersionId(version),
                new DataCentreId("dc-1"),
                new HostId("host-" + number),
                "class",
                true,
                1,
                "127.0.0.1",
                1,
                false);
    }
}
