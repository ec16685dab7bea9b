package org.geraniumstand.peer.net;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.PeerSettings;
import org.geraniumstand.peer.exchange.GossipProtocol;
import org.geraniumstand.support.json.Json;

/** Starts peer networks on the loopback interface and closes them after the test. */
final class TestNodes implements AutoCloseable {
    static final String KEY = "a shared key";
    private static final String LOOPBACK = "127.0.0.1";

    private final List<TcpPeerNetwork> running = new ArrayList<>();

    TcpPeerNetwork start(String name, int level, String key) {
        List<GossipProtocol.Seed> seeds = running.stream()
                .map(node -> new GossipProtocol.Seed(LOOPBACK, node.self().peerPort()))
                .toList();
        return start(name, level, key, seeds);
    }

    TcpPeerNetwork start(String name, int level, String key, List<GossipProtocol.Seed> seeds) {
        Member self = new Member(new ProcessId(name), new DataCentreId("dc-1"), LOOPBACK, 1, 0, 2, level, false);
        TcpPeerNetwork network = TcpPeerNetwork.open(new PeerSettings(self, 0, key, seeds, name.hashCode()));
        network.start();
        running.add(network);
        return network;
    }

    List<TcpPeerNetwork> startMany(int count) {
        List<TcpPeerNetwork> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(start("node-" + i, 1, KEY));
        }
        return nodes;
    }

    void stop(TcpPeerNetwork network) {
        running.remove(network);
        network.close();
    }

    static String document(long generation, int requiredLevel) {
        Configuration document =
                Configuration.empty().withGeneration(generation).withChangeTokens("test");
        return Json.write(document).replace("\"requiredLevel\":0", "\"requiredLevel\":" + requiredLevel);
    }

    static boolean allSeeMembers(List<TcpPeerNetwork> nodes, int members) {
        return nodes.stream().allMatch(node -> node.members().size() == members);
    }

    static boolean allApplied(List<TcpPeerNetwork> nodes, long generation) {
        return nodes.stream().allMatch(node -> node.view().generation() == generation);
    }

    @Override
    public void close() {
        running.forEach(TcpPeerNetwork::close);
    }
}
