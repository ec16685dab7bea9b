package org.geraniumstand.proofs.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.geraniumstand.standins.StoreStandin;

/** Several nodes and a store in this process. */
final class FactsCluster implements AutoCloseable {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final StoreStandin store = StoreStandin.start(0);
    private final List<FactsNode> nodes = new ArrayList<>();

    FactsCluster(int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            add();
        }
        await(() -> nodes.stream().allMatch(n -> n.tasks().peers().members().size() == count));
    }

    StoreStandin store() {
        return store;
    }

    List<FactsNode> nodes() {
        return nodes;
    }

    FactsNode add() {
        List<String> seeds = nodes.stream().limit(3).map(FactsNode::address).toList();
        FactsNode node = FactsNode.start("node-" + nodes.size(), store.port(), seeds);
        nodes.add(node);
        return node;
    }

    /** Waits until all nodes have a generation in force and returns when the last one had, or -1. */
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
        nodes.forEach(FactsNode::close);
        store.close();
    }
}
