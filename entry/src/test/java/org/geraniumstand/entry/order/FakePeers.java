package org.geraniumstand.entry.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.geraniumstand.entry.task.VirtualTimer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerNetwork;

/** A network of processes that delivers messages within 1 ms, unless it is partitioned. */
final class FakePeers {
    private final VirtualTimer timer;
    private final Map<ProcessId, Node> nodes = new HashMap<>();
    private final List<Member> members = new ArrayList<>();
    private boolean partition;

    FakePeers(VirtualTimer timer) {
        this.timer = timer;
    }

    /** Starts to drop all messages. */
    void partition() {
        partition = true;
    }

    /** Removes a process from the members that its peers list. */
    void end(ProcessId id) {
        members.removeIf(m -> m.id().equals(id));
    }

    PeerNetwork join(ProcessId id) {
        Node node = new Node(id);
        nodes.put(id, node);
        members.add(new Member(id, new DataCentreId("dc1"), "127.0.0.1", 1, 2, 3, 1, false));
        return node;
    }

    private final class Node implements PeerNetwork {
        private final ProcessId id;
        private final Map<Class<?>, BiConsumer<ProcessId, PeerMessage>> handlers = new HashMap<>();

        Node(ProcessId id) {
            this.id = id;
        }

        @Override
        public boolean send(ProcessId to, PeerMessage message) {
            Node node = nodes.get(to);
            if (!partition) {
                timer.after(() -> node.handlers.get(message.getClass()).accept(id, message), 1);
            }
            return true;
        }

        @Override
        public void broadcast(PeerMessage message) {
            nodes.keySet().forEach(to -> send(to, message));
        }

        @Override
        public <M extends PeerMessage> void subscribe(Class<M> type, BiConsumer<ProcessId, M> handler) {
            handlers.put(type, (from, message) -> handler.accept(from, type.cast(message)));
        }

        @Override
        public List<Member> members() {
            return List.copyOf(members);
        }

        @Override
        public void close() {}
    }
}
