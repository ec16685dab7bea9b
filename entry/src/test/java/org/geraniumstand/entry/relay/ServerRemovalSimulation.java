package org.geraniumstand.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.relay.Hubs;
import org.geraniumstand.decisions.relay.StoreBounds;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.peer.PeerMessage;

/** Entry processes that follow the servers in a store and tell each other what they saw, in virtual time. */
final class ServerRemovalSimulation {
    private static final long NEWS_MILLIS = 1;

    /** Milliseconds after which a process that ended is no longer among the live ones of the others. */
    private static final long MEMBERS_MILLIS = 4_000;

    private final VirtualTimer timer = new VirtualTimer();
    private final SimulatedStore store = new SimulatedStore(timer);
    private final List<Follower> processes = new ArrayList<>();
    private final StoreBounds bounds;

    /** An entry process and the servers to which it sends requests. */
    private final class Follower implements StoreWatcher.Listener {
        private final int number;
        private final ProcessId id;
        private final Set<ServerId> using = new HashSet<>();
        private final StoreWatcher follower;
        private boolean alive = true;

        private Follower(int number) {
            this.number = number;
            this.id = new ProcessId("process-" + number);
            this.follower = new StoreWatcher(
                    store.seenBy(number),
                    new FakeEntryReader(),
                    (step, delay) -> timer.after(() -> ifAlive(step), delay),
                    timer::nanos,
                    bounds,
                    this,
                    "own/x",
                    _present -> {});
            follower.onNews(this::tell);
        }

        private void ifAlive(Runnable step) {
            if (alive) {
                step.run();
            }
        }

        private void tell(PeerMessage.StoreNews news) {
            if (!alive) {
                return;
            }
            for (Follower other : processes) {
                if (other != this) {
                    timer.after(() -> other.ifAlive(() -> other.follower.onTold(news)), NEWS_MILLIS);
                }
            }
        }

        @Override
        public void onFact(StoreFact fact) {
            RelayServer server = ((StoreFact.Listed) fact).server();
            if (server.leaving()) {
                using.remove(server.id());
            } else {
                using.add(server.id());
            }
        }

        @Override
        public void onRemoved(StoreFact.Removed removed, long _heldMillis) {
            if (removed instanceof StoreFact.Removed.Server server) {
                using.remove(server.server());
            }
        }

        @Override
        public void onInformed() {}

        @Override
        public void onWhole(List<StoreFact> facts) {
            using.clear();
            facts.forEach(this::onFact);
        }
    }

    ServerRemovalSimulation(int processCount, int serverCount, StoreBounds bounds) {
        this.bounds = bounds;
        for (int i = 0; i < serverCount; i++) {
            store.addServer("server-" + i, 37L * i);
        }
        for (int i = 0; i < processCount; i++) {
            processes.add(new Follower(i));
        }
        processes.forEach(process -> process.follower.start());
        chooseReaders();
    }

    SimulatedStore store() {
        return store;
    }

    /** Runs a step at a time. */
    void at(long millis, Runnable step) {
        timer.at(millis, step);
    }

    /** Runs a step after a delay. */
    void after(long millis, Runnable step) {
        timer.after(step, millis);
    }

    /** Returns the time in milliseconds. */
    long millis() {
        return timer.millis();
    }

    void runUntil(long millis) {
        timer.runUntil(millis);
    }

    /** Returns the numbers of the processes that ask the store for all. */
    List<Integer> readers() {
        Map<ProcessId, Integer> numbers = new HashMap<>();
        processes.stream().filter(p -> p.alive).forEach(process -> numbers.put(process.id, process.number));
        return Hubs.choose(Hubs.Task.READ_STORE, numbers.keySet()).stream()
                .map(numbers::get)
                .toList();
    }

    /** Ends processes; the others notice later. */
    void kill(List<Integer> numbers) {
        numbers.forEach(number -> processes.get(number).alive = false);
        timer.after(this::chooseReaders, MEMBERS_MILLIS);
    }

    /** Starts a process under a new name; the others notice at once. */
    int start() {
        Follower next = new Follower(processes.size());
        processes.add(next);
        next.follower.start();
        chooseReaders();
        return next.number;
    }

    /** Returns the numbers of the live processes. */
    List<Integer> live() {
        return processes.stream()
                .filter(process -> process.alive)
                .map(process -> process.number)
                .toList();
    }

    private void chooseReaders() {
        List<Integer> readers = readers();
        processes.stream()
                .filter(p -> p.alive)
                .forEach(p -> p.follower.onReader(readers.contains(p.number), live().size() - 1));
    }

    /** Returns the numbers of the live processes that send requests to a server. */
    Set<Integer> using(String server) {
        return processes.stream()
                .filter(process -> process.alive && process.using.contains(new ServerId(server)))
                .map(process -> process.number)
                .collect(Collectors.toSet());
    }

    /** Returns the fewest servers that any live process sends requests to. */
    int fewestUsed() {
        return processes.stream()
                .filter(process -> process.alive)
                .mapToInt(process -> process.using.size())
                .min()
                .orElse(0);
    }
}
