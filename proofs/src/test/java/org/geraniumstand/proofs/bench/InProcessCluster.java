package org.geraniumstand.proofs.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.geraniumstand.standins.StoreStandin;

/** Runs several nodes and a store stand-in in this process. */
final class InProcessCluster implements AutoCloseable {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final StoreStandin store = StoreStandin.start(0);
    private final List<InProcessNode> nodes = new ArrayList<>();

    InProcessCluster(int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            add();
        }
        await(() -> nodes.stream().allMatch(n -> n.tasks().peers().members().size() == count));
    }

    StoreStandin store() {
        return store;
    }

    List<InProcessNode> nodes() {
        return nodes;
    }

    InProcessNode add() {
        List<String> seeds = nodes.stream().limit(3).map(InProcessNode::address).toList();
        InProcessNode node = InProcessNode.start("node-" + nodes.size(), store.port(), seeds);
        nodes.add(node);
        return node;
    }

    /** Waits until a generation is in force on all nodes; returns the nano time of the last node, or -1 after 60 s. */
    long inForceEverywhere(long generation) throws InterruptedException {
        boolean all = await(
                () -> nodes.stream().allMatch(n -> n.inForceNanos(generation).isPresent()));
        return all
                ? nodes.stream()
                        .mapToLong(n -> n.inForceNanos(generation).orElseThrow())
                        .max()
                        .orElseThrow()
                : -1;
    }

    static boolean await(BooleanSupplier condition) throws InterruptedException {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > LIMIT_NANOS) {
                return false;
            }
            Thread.sleep(1);
        }
        return true;
    }

    @Override
    public void close() {
        nodes.forEach(InProcessNode::close);
        store.close();
    }
}
